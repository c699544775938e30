#ifndef LAGOONLADDER_VERSION_ENVELOPE_HPP
#define LAGOONLADDER_VERSION_ENVELOPE_HPP

#include <string>

#include <nlohmann/json.hpp>

#include <lagoonladder/base.hpp>

namespace lagoonladder::version
{

/// Kind of an encoded value. It is stored with the value, so that a value of one kind can't
/// be decoded as another.
enum class envelope_kind : char
{
    command = 'c',
    result = 'r',
    shared_status = 's',
    configuration = 'i',
    snapshot = 'z',
    usage = 'u'
};

/// Encodes a value as MessagePack, preceded by a checksum and the kind. Without the
/// checksum, many damaged bytes would decode as other valid values.
std::string make_envelope(envelope_kind kind, nlohmann::json const& value);

/// Decodes the result of make_envelope. Throws parse_error if the bytes are damaged or
/// contain a value of another kind.
nlohmann::json open_envelope(envelope_kind kind, std::string const& bytes);

/// Calls `read` and converts its JSON exceptions into parse_error. `value_name` is used
/// in the message.
template <class Read>
auto convert_json_errors(char const* value_name, Read read)
{
    try
    {
        return read();
    }
    catch (nlohmann::json::exception const& failure)
    {
        throw parse_error(std::string(value_name) + " cannot be read: " + failure.what());
    }
}

/// Returns the enumerator with the number `in`. `last` is the last enumerator. Throws
/// parse_error if there is none with this number.
template <class Enum>
Enum enum_from(nlohmann::json const& in, Enum last)
{
    auto const value = in.get<int>();
    if (value < 0 || value > static_cast<int>(last))
        throw parse_error("unknown enumerator " + std::to_string(value));
    return static_cast<Enum>(value);
}

/// An absent value is null.
template <class Value>
nlohmann::json optional_json(std::optional<Value> const& value)
{
    return value ? nlohmann::json(*value) : nlohmann::json(nullptr);
}

template <class Value>
std::optional<Value> optional_from(nlohmann::json const& in)
{
    return in.is_null() ? std::nullopt : std::optional<Value>(in.get<Value>());
}

} // namespace lagoonladder::version

#endif
