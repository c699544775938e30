#ifndef LAGOONLADDER_VERSION_BINARY_JSON_HPP
#define LAGOONLADDER_VERSION_BINARY_JSON_HPP

#include <string>

#include <nlohmann/json.hpp>

namespace lagoonladder::version
{

/// Returns a MessagePack binary value. A text value would have to be valid UTF-8.
inline nlohmann::json binary_json(std::string const& bytes)
{
    return nlohmann::json::binary({bytes.begin(), bytes.end()});
}

/// Returns the bytes of a binary value. Throws nlohmann::json::exception for other values.
inline std::string binary_from(nlohmann::json const& in)
{
    auto const& bytes = in.get_binary();
    return {bytes.begin(), bytes.end()};
}

} // namespace lagoonladder::version

#endif
