#ifndef LAGOONLADDER_VERSION_ENVELOPE_HPP
#define LAGOONLADDER_VERSION_ENVELOPE_HPP

#include <string>

#include <nlohmann/json.hpp>

#include <lagoonladder/base.hpp>

namespace lagoonladder::version
{

/// What an encoded value is; a value of one kind does not decode as another.
enum class envelope_kind : char
{
    of_command = 'c',
    of_result = 'r',
    of_shared_status = 's',
    of_configuration = 'i',
    of_snapshot = 'z',
    of_usage = 'u'
};

/// MessagePack behind a kind and a checksum. MessagePack alone would take many
/// damaged bytes for other valid values.
std::string seal(envelope_kind kind, nlohmann::json const& value);

/// Throws parse_error for damaged bytes and for another kind.
nlohmann::json open_envelope(envelope_kind kind, std::string const& bytes);

/// Runs `read` and turns JSON errors into parse_error.
template <class Read>
auto read_fields(char const* what, Read read)
{
    try
    {
        return read();
    }
    catch (nlohmann::json::exception const& failure)
    {
        throw parse_error(std::string(what) + " cannot be read: " + failure.what());
    }
}

/// The enumerator with this number. Throws parse_error when there is none.
template <class Enum>
Enum enum_from(nlohmann::json const& in, Enum last)
{
    auto const value = in.get<int>();
    if (value < 0 || value > static_cast<int>(last))
        throw parse_error("unknown enumerator " + std::to_string(value));
    return static_cast<Enum>(value);
}

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
