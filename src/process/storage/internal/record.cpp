#include "record.hpp"

#include <cstring>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lagoonladder::storage
{

namespace
{

constexpr std::uint64_t segment_magic = 0x314c41574c414c4cULL;
constexpr std::uint64_t snapshot_magic = 0x31504e534c414c4cULL;
constexpr std::uint32_t record_magic = 0x3143524cU;

template <class Number>
void put(std::string& out, Number value)
{
    for (std::size_t byte = 0; byte < sizeof(Number); ++byte)
        out.push_back(static_cast<char>(value >> (8 * byte)));
}

template <class Number>
Number get(std::string const& bytes, std::uint64_t offset)
{
    Number value = 0;
    for (std::size_t byte = 0; byte < sizeof(Number); ++byte)
        value |= static_cast<Number>(static_cast<unsigned char>(bytes[offset + byte]))
                 << (8 * byte);
    return value;
}

/// Checksum of the data, its size and its location in the log.
std::uint64_t checksum(char const* data, std::uint64_t size, std::uint64_t segment,
                       std::uint64_t offset)
{
    std::string location;
    put(location, segment);
    put(location, offset);
    put(location, size);
    return XXH64(data, size, XXH64(location.data(), location.size(), 0));
}

std::string to_bytes(nlohmann::json const& value)
{
    std::string bytes;
    nlohmann::json::to_msgpack(value, bytes);
    return bytes;
}

} // namespace

std::string encode_segment_header(segment_header const& header)
{
    std::string bytes;
    put(bytes, segment_magic);
    put(bytes, header.number);
    put(bytes, static_cast<std::uint64_t>(header.kind));
    put(bytes, checksum(bytes.data(), bytes.size(), header.number, 0));
    return bytes;
}

std::optional<segment_header> decode_segment_header(std::string const& bytes)
{
    if (bytes.size() < segment_header_bytes || get<std::uint64_t>(bytes, 0) != segment_magic)
        return std::nullopt;
    segment_header const header{get<std::uint64_t>(bytes, 8),
                                static_cast<segment_kind>(get<std::uint64_t>(bytes, 16))};
    if (get<std::uint64_t>(bytes, 24) != checksum(bytes.data(), 24, header.number, 0))
        return std::nullopt;
    return header;
}

std::string encode_record(std::uint64_t segment, std::uint64_t offset, std::string const& payload)
{
    invariant(payload.size() <= UINT32_MAX, "a record is longer than 4 GiB");
    std::string bytes;
    put(bytes, record_magic);
    put(bytes, static_cast<std::uint32_t>(payload.size()));
    put(bytes, checksum(payload.data(), payload.size(), segment, offset));
    return bytes + payload;
}

std::optional<std::string> decode_record(std::string const& bytes, std::uint64_t segment,
                                         std::uint64_t offset)
{
    if (offset + record_overhead_bytes > bytes.size() ||
        get<std::uint32_t>(bytes, offset) != record_magic)
        return std::nullopt;
    std::uint64_t const size = get<std::uint32_t>(bytes, offset + 4);
    auto const begin = offset + record_overhead_bytes;
    if (size > bytes.size() - begin)
        return std::nullopt;
    if (get<std::uint64_t>(bytes, offset + 8) !=
        checksum(bytes.data() + begin, size, segment, offset))
        return std::nullopt;
    return bytes.substr(begin, size);
}

std::optional<std::uint64_t> find_record_after(std::string const& bytes, std::uint64_t segment,
                                               std::uint64_t offset)
{
    for (++offset; offset + record_overhead_bytes <= bytes.size(); ++offset)
        if (decode_record(bytes, segment, offset))
            return offset;
    return std::nullopt;
}

std::string encode_snapshot_file(consensus::snapshot const& state)
{
    auto const content = to_bytes(state);
    std::string bytes;
    put(bytes, snapshot_magic);
    put(bytes, checksum(content.data(), content.size(), snapshot_magic, 0));
    return bytes + content;
}

consensus::snapshot decode_snapshot_file(std::string const& path, std::string const& bytes)
{
    if (bytes.size() < 16 || get<std::uint64_t>(bytes, 0) != snapshot_magic ||
        get<std::uint64_t>(bytes, 8) !=
            checksum(bytes.data() + 16, bytes.size() - 16, snapshot_magic, 0))
        throw storage_error(path + ": the snapshot is damaged (checksum at offset 8)");
    try
    {
        return nlohmann::json::from_msgpack(bytes.substr(16)).get<consensus::snapshot>();
    }
    catch (nlohmann::json::exception const& problem)
    {
        throw storage_error(path + ": the snapshot cannot be decoded: " + problem.what());
    }
}

std::string encode_batch(batch const& content)
{
    nlohmann::json out = nlohmann::json::object();
    if (content.hard_state)
        out["hard_state"] = *content.hard_state;
    if (!content.entries.empty())
        out["entries"] = content.entries;
    if (content.snapshot)
        out["snapshot"] = {content.snapshot->first, content.snapshot->second};
    return to_bytes(out);
}

batch decode_batch(std::string const& payload)
{
    try
    {
        auto const in = nlohmann::json::from_msgpack(payload);
        batch content;
        if (in.contains("hard_state"))
            content.hard_state = in["hard_state"].get<consensus::hard_state>();
        if (in.contains("entries"))
            in["entries"].get_to(content.entries);
        if (in.contains("snapshot"))
            content.snapshot.emplace(in["snapshot"].at(0).get<consensus::log_index>(),
                                     in["snapshot"].at(1).get<consensus::term_number>());
        return content;
    }
    catch (error const& problem)
    {
        throw storage_error(problem.what());
    }
    catch (nlohmann::json::exception const& problem)
    {
        throw storage_error(problem.what());
    }
}

} // namespace lagoonladder::storage
