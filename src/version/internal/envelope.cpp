#include "envelope.hpp"

#include <lagoonladder/version/configuration.hpp>

namespace lagoonladder::version
{

namespace
{

constexpr std::size_t checksum_size = 16;

std::string checksum(std::string const& text)
{
    return sha256_hex(text).substr(0, checksum_size);
}

} // namespace

std::string make_envelope(envelope_kind kind, nlohmann::json const& value)
{
    std::string content(1, static_cast<char>(kind));
    nlohmann::json::to_msgpack(value, content);
    return checksum(content) + content;
}

nlohmann::json open_envelope(envelope_kind kind, std::string const& bytes)
{
    if (bytes.size() <= checksum_size)
        throw parse_error("an encoded value of " + std::to_string(bytes.size()) +
                          " bytes is too short");
    auto const content = bytes.substr(checksum_size);
    if (bytes.compare(0, checksum_size, checksum(content)) != 0)
        throw parse_error("the checksum of an encoded value is wrong");
    if (content.front() != static_cast<char>(kind))
        throw parse_error(std::string("an encoded value has kind ") + content.front() +
                          " instead of " + static_cast<char>(kind));
    return convert_json_errors(
        "an encoded value",
        [&] { return nlohmann::json::from_msgpack(content.begin() + 1, content.end()); });
}

} // namespace lagoonladder::version
