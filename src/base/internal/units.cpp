#include <lagoonladder/base/units.hpp>

#include <array>
#include <charconv>
#include <cstdio>
#include <ctime>
#include <limits>
#include <string>

#include <lagoonladder/base/error.hpp>

namespace lagoonladder
{

namespace
{

struct unit_scale
{
    std::string_view name;
    std::uint64_t factor;
};

constexpr std::array<unit_scale, 5> duration_units{{
    {"us", 1},
    {"ms", 1'000},
    {"s", 1'000'000},
    {"min", 60'000'000},
    {"h", 3'600'000'000},
}};

constexpr std::array<unit_scale, 4> byte_units{{
    {"B", 1},
    {"KiB", 1024},
    {"MiB", 1024 * 1024},
    {"GiB", 1024 * 1024 * 1024},
}};

std::string_view trim(std::string_view text)
{
    auto const first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

template <std::size_t Count>
std::uint64_t parse_with_unit(std::string_view text, std::array<unit_scale, Count> const& units,
                              std::string const& unit_names)
{
    text = trim(text);
    std::uint64_t number = 0;
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc())
        throw parse_error("\"" + std::string(text) + "\" is not a whole number with a unit (" +
                          unit_names + ")");
    auto const unit = trim(text.substr(parsed.ptr - text.data()));
    for (auto const& candidate : units)
    {
        if (candidate.name != unit)
            continue;
        if (number > std::numeric_limits<std::int64_t>::max() / candidate.factor)
            throw parse_error("\"" + std::string(text) + "\" is too large");
        return number * candidate.factor;
    }
    throw parse_error("\"" + std::string(text) + "\" has no known unit (" + unit_names + ")");
}

} // namespace

duration parse_duration(std::string_view text)
{
    return duration(
        static_cast<duration::rep>(parse_with_unit(text, duration_units, "us, ms, s, min, h")));
}

std::string format_duration(duration span)
{
    auto largest_unit = duration_units.front();
    for (auto const& unit : duration_units)
    {
        if (span.count() % static_cast<duration::rep>(unit.factor) == 0)
            largest_unit = unit;
    }
    return std::to_string(span.count() / static_cast<duration::rep>(largest_unit.factor)) + " " +
           std::string(largest_unit.name);
}

std::uint64_t parse_byte_count(std::string_view text)
{
    return parse_with_unit(text, byte_units, "B, KiB, MiB, GiB");
}

wall_time parse_wall_time(std::string_view text)
{
    std::string const trimmed(trim(text));
    std::tm parts{};
    int consumed = 0;
    int const parsed_fields =
        std::sscanf(trimmed.c_str(), "%4d-%2d-%2dT%2d:%2d:%2dZ%n", &parts.tm_year, &parts.tm_mon,
                    &parts.tm_mday, &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &consumed);
    std::chrono::year_month_day const date{std::chrono::year(parts.tm_year),
                                           std::chrono::month(static_cast<unsigned>(parts.tm_mon)),
                                           std::chrono::day(static_cast<unsigned>(parts.tm_mday))};
    bool const in_range = date.ok() && parts.tm_hour <= 23 && parts.tm_min <= 59 &&
                          parts.tm_sec <= 60 && parts.tm_hour >= 0 && parts.tm_min >= 0 &&
                          parts.tm_sec >= 0;
    if (parsed_fields != 6 || consumed != static_cast<int>(trimmed.size()) || !in_range)
        throw parse_error("\"" + trimmed + "\" is not a UTC time such as 2026-12-05T06:00:00Z");
    parts.tm_year -= 1900;
    parts.tm_mon -= 1;
    return wall_time(seconds(timegm(&parts)));
}

std::string format_wall_time(wall_time time)
{
    auto const since_epoch = time.time_since_epoch();
    auto const whole_seconds = std::chrono::floor<seconds>(since_epoch);
    std::time_t const time_value = whole_seconds.count();
    std::tm parts{};
    gmtime_r(&time_value, &parts);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 48> text{};
    std::snprintf(text.data(), text.size(), "%s.%06lldZ", date.data(),
                  static_cast<long long>((since_epoch - whole_seconds).count()));
    return text.data();
}

} // namespace lagoonladder
