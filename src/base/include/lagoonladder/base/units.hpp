#ifndef LAGOONLADDER_BASE_UNITS_HPP
#define LAGOONLADDER_BASE_UNITS_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace lagoonladder
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Type of all durations.
using duration = std::chrono::microseconds;

struct monotonic_clock_tag
{
    using duration = lagoonladder::duration;
    using rep = duration::rep;
    using period = duration::period;
    static constexpr bool is_steady = true;
};

struct wall_clock_tag
{
    using duration = lagoonladder::duration;
    using rep = duration::rep;
    using period = duration::period;
    static constexpr bool is_steady = false;
};

/// Time of the monotonic clock of one process; used for leases and timeouts.
using time_point = std::chrono::time_point<monotonic_clock_tag, duration>;

/// Microseconds since 1970-01-01T00:00:00Z; used for time stamps and for times that operators
/// enter.
using wall_time = std::chrono::time_point<wall_clock_tag, duration>;

/// Parses "150 ms", "2 s", "5 min", "24 h" or "300 us".
/// Throws parse_error when the number or the unit is missing or unknown.
duration parse_duration(std::string_view text);

/// Formats in the largest unit that gives a whole number, such as "150 ms".
std::string format_duration(duration span);

/// Parses "64 KiB", "1 MiB", "2 GiB" or "512 B" into bytes. Throws parse_error.
std::uint64_t parse_byte_count(std::string_view text);

/// Parses "2026-12-05T06:00:00Z". Throws parse_error.
wall_time parse_wall_time(std::string_view text);

/// Formats as "2026-12-05T06:00:00.123456Z".
std::string format_wall_time(wall_time time);

inline double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

inline duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

} // namespace lagoonladder

// In JSON, durations and time points are whole numbers of microseconds.
namespace std::chrono
{

template <class Rep, class Period>
void to_json(nlohmann::json& out, duration<Rep, Period> const& span)
{
    out = duration_cast<lagoonladder::duration>(span).count();
}

template <class Rep, class Period>
void from_json(nlohmann::json const& in, duration<Rep, Period>& span)
{
    span = duration_cast<duration<Rep, Period>>(lagoonladder::duration(in.get<std::int64_t>()));
}

template <class Clock, class Duration>
void to_json(nlohmann::json& out, time_point<Clock, Duration> const& time)
{
    out = time.time_since_epoch();
}

template <class Clock, class Duration>
void from_json(nlohmann::json const& in, time_point<Clock, Duration>& time)
{
    time = time_point<Clock, Duration>(in.get<Duration>());
}

} // namespace std::chrono

#endif
