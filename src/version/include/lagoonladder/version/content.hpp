#ifndef LAGOONLADDER_VERSION_CONTENT_HPP
#define LAGOONLADDER_VERSION_CONTENT_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::version
{

/// Name of packed bytes: their SHA-256 in hexadecimal.
using content_digest = strong_id<struct content_digest_tag>;

/// Bytes of a part. A link of 10 Mbit/s carries one in 27 ms, so that heartbeats
/// behind it arrive in time.
constexpr std::uint64_t max_content_part_bytes = 32 * 1024;

/// Largest packed content.
constexpr std::uint64_t max_content_bytes = 4 * 1024 * 1024;

/// Largest content before it is packed.
constexpr std::uint64_t max_plain_bytes = 64 * 1024 * 1024;

/// A compressed text that is known by its digest. Immutable; copies share the bytes.
struct packed_content
{
    content_digest digest;
    /// Null when only the digest is known.
    std::shared_ptr<std::string const> bytes;

    bool has_bytes() const { return this->bytes != nullptr; }
    std::uint64_t size() const { return this->bytes ? this->bytes->size() : 0; }
};

/// Throws parse_error when the packed text is larger than max_content_bytes.
packed_content pack(std::string const& plain);

/// Throws parse_error when the bytes do not have this digest.
packed_content make_packed(content_digest const& digest, std::string bytes);

/// Throws parse_error when the bytes are absent or cannot be unpacked.
std::string unpack(packed_content const& content);

/// Part of a packed content.
struct content_part
{
    content_digest digest;
    /// Position of `bytes` in the content, in bytes.
    std::uint64_t offset = 0;
    /// Size of the whole content, in bytes.
    std::uint64_t total = 0;
    std::string bytes;
};

/// All parts of a content; the last one may be shorter than the others.
std::vector<content_part> split(packed_content const& content);

} // namespace lagoonladder::version

#endif
