#include <lagoonladder/version/content.hpp>

#include <zstd.h>

#include <lagoonladder/version/configuration.hpp>

namespace lagoonladder::version
{

namespace
{

/// Higher levels take several times the processor time and make configurations only a few
/// percent smaller.
constexpr int compression_level = 1;

} // namespace

packed_content pack(std::string const& plain)
{
    if (plain.size() > max_plain_bytes)
        throw parse_error("a content of " + std::to_string(plain.size()) + " bytes is too large");
    std::string packed(ZSTD_compressBound(plain.size()), '\0');
    auto const size =
        ZSTD_compress(packed.data(), packed.size(), plain.data(), plain.size(), compression_level);
    invariant(ZSTD_isError(size) == 0, "the compressed size stays within its bound");
    packed.resize(size);
    if (packed.size() > max_content_bytes)
        throw parse_error("a content of " + std::to_string(packed.size()) +
                          " packed bytes is too large");
    content_digest const digest(sha256_hex(packed));
    return {digest, std::make_shared<std::string const>(std::move(packed))};
}

packed_content make_packed(content_digest const& digest, std::string bytes)
{
    if (sha256_hex(bytes) != digest.value())
        throw parse_error("packed bytes do not match the digest " + digest.value());
    return {digest, std::make_shared<std::string const>(std::move(bytes))};
}

std::string unpack(packed_content const& content)
{
    if (!content.has_bytes())
        throw parse_error("the bytes of content " + content.digest.value() + " are missing");
    auto const& packed = *content.bytes;
    auto const content_size = ZSTD_getFrameContentSize(packed.data(), packed.size());
    // The two error codes of zstd are larger than any valid size.
    if (content_size > max_plain_bytes)
        throw parse_error("a packed content has no valid size, or one that is too large");
    std::string plain(content_size, '\0');
    auto const size = ZSTD_decompress(plain.data(), plain.size(), packed.data(), packed.size());
    if (ZSTD_isError(size) != 0 || size != plain.size())
        throw parse_error("a packed content cannot be decompressed");
    return plain;
}

std::vector<content_part> split(packed_content const& content)
{
    std::vector<content_part> parts;
    auto const total = content.size();
    for (std::uint64_t offset = 0; offset < total; offset += max_content_part_bytes)
        parts.push_back(
            {content.digest, offset, total, content.bytes->substr(offset, max_content_part_bytes)});
    return parts;
}

} // namespace lagoonladder::version
