#ifndef LAGOONLADDER_CONSENSUS_ENCODING_HPP
#define LAGOONLADDER_CONSENSUS_ENCODING_HPP

#include <lagoonladder/consensus/types.hpp>

namespace lagoonladder::consensus
{

inline nlohmann::json to_binary(std::string const& bytes)
{
    return nlohmann::json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

inline std::string from_binary(nlohmann::json const& value)
{
    auto const& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

/// Throws consensus_error when the number is above `last`.
template <class Enum>
Enum to_enum(nlohmann::json const& value, Enum last)
{
    auto const number = value.get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(last))
        throw consensus_error("unknown enumerator " + std::to_string(number));
    return static_cast<Enum>(number);
}

inline log_index after(log_index index, std::uint64_t count = 1)
{
    return log_index(index.value() + count);
}

inline log_index before(log_index index)
{
    return log_index(index.value() - 1);
}

std::string encode_membership(membership const& members);
membership decode_membership(std::string const& bytes);

} // namespace lagoonladder::consensus

#endif
