#ifndef LAGOONLADDER_CONNECTION_JSON_FIELDS_HPP
#define LAGOONLADDER_CONNECTION_JSON_FIELDS_HPP

#include <limits>
#include <string>
#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

#include <lagoonladder/base.hpp>

namespace lagoonladder::connection
{

/// Throws nlohmann::json::other_error with the message `field "NAME" PROBLEM`.
[[noreturn]] void throw_field_error(nlohmann::json const& in, char const* name,
                                    std::string const& problem);

/// Returns the field. Throws when the field is missing or `in` is not an object.
nlohmann::json const& require_field(nlohmann::json const& in, char const* name);

void read_field(nlohmann::json const& in, char const* name, bool& out);
void read_field(nlohmann::json const& in, char const* name, std::string& out);
/// Throws when the number is negative or not finite.
void read_field(nlohmann::json const& in, char const* name, double& out);
void read_field(nlohmann::json const& in, char const* name, std::uint64_t& out);
/// Throws when the value does not fit into 32 bits, instead of truncating it.
void read_field(nlohmann::json const& in, char const* name, std::uint32_t& out);

template <class Tag, class Rep>
void read_field(nlohmann::json const& in, char const* name, strong_type<Tag, Rep>& out)
{
    Rep value{};
    read_field(in, name, value);
    out = strong_type<Tag, Rep>(std::move(value));
}

/// Reads an id or address. Throws when the text is empty.
template <class Tag>
void read_id(nlohmann::json const& in, char const* name, strong_id<Tag>& out)
{
    read_field(in, name, out);
    if (out.value().empty())
        throw_field_error(in, name, "is empty");
}

/// Reads "serving" or "leaving"; throws on any other text.
template <class State>
void read_state(nlohmann::json const& in, char const* name, State& out)
{
    std::string text;
    read_field(in, name, text);
    if (text == "serving")
        out = State::serving;
    else if (text == "leaving")
        out = State::leaving;
    else
        throw_field_error(in, name, "is neither \"serving\" nor \"leaving\"");
}

/// Writes the age of a row as the field "age_ms". A row without an age has no such field, as rows
/// are sent in many messages.
void write_age(nlohmann::json& out, duration age);
/// Reads the optional field "age_ms"; zero when it is missing.
duration read_age(nlohmann::json const& in);

template <class State>
char const* state_text(State state)
{
    return state == State::serving ? "serving" : "leaving";
}

} // namespace lagoonladder::connection

#endif
