#include <json_fields.hpp>

#include <algorithm>
#include <cmath>

namespace lagoonladder::connection
{

void throw_field_error(nlohmann::json const& in, char const* name, std::string const& problem)
{
    throw nlohmann::json::other_error::create(501, "field \"" + std::string(name) + "\" " + problem,
                                              &in);
}

nlohmann::json const& require_field(nlohmann::json const& in, char const* name)
{
    if (!in.is_object())
        throw_field_error(in, name, "is missing: the value is not an object");
    auto const found = in.find(name);
    if (found == in.end())
        throw_field_error(in, name, "is missing");
    return *found;
}

void read_field(nlohmann::json const& in, char const* name, bool& out)
{
    auto const& field = require_field(in, name);
    if (!field.is_boolean())
        throw_field_error(in, name, "is not a boolean");
    out = field.get<bool>();
}

void read_field(nlohmann::json const& in, char const* name, std::string& out)
{
    auto const& field = require_field(in, name);
    if (!field.is_string())
        throw_field_error(in, name, "is not a string");
    out = field.get<std::string>();
}

void read_field(nlohmann::json const& in, char const* name, double& out)
{
    auto const& field = require_field(in, name);
    if (!field.is_number())
        throw_field_error(in, name, "is not a number");
    auto const value = field.get<double>();
    if (!std::isfinite(value) || value < 0)
        throw_field_error(in, name, "is negative or not finite");
    out = value;
}

void read_field(nlohmann::json const& in, char const* name, std::uint64_t& out)
{
    auto const& field = require_field(in, name);
    if (!field.is_number_integer() ||
        (!field.is_number_unsigned() && field.get<std::int64_t>() < 0))
        throw_field_error(in, name, "is not a non-negative integer");
    out = field.get<std::uint64_t>();
}

void read_field(nlohmann::json const& in, char const* name, std::uint32_t& out)
{
    std::uint64_t value = 0;
    read_field(in, name, value);
    if (value > std::numeric_limits<std::uint32_t>::max())
        throw_field_error(in, name, "is larger than 4294967295");
    out = static_cast<std::uint32_t>(value);
}

void write_age(nlohmann::json& out, duration age)
{
    constexpr std::int64_t max_age_ms = std::numeric_limits<std::uint32_t>::max();
    auto const age_ms = std::min<std::int64_t>(age / milliseconds(1), max_age_ms);
    if (age_ms > 0)
        out["age_ms"] = age_ms;
}

duration read_age(nlohmann::json const& in)
{
    if (!in.contains("age_ms"))
        return duration::zero();
    std::uint32_t age_ms = 0;
    read_field(in, "age_ms", age_ms);
    return milliseconds(age_ms);
}

} // namespace lagoonladder::connection
