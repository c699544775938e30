#ifndef LAGOONLADDER_OBSERVABILITY_LOG_HPP
#define LAGOONLADDER_OBSERVABILITY_LOG_HPP

#include <cstdint>
#include <iosfwd>
#include <string>

namespace lagoonladder::observability
{

/// Lines that wait for the writer; more are dropped and counted.
inline constexpr std::size_t max_waiting_log_lines = 2048;

/// Sends log lines to `out` through Boost.Log, from a thread of its own, so that no
/// caller waits for a slow reader of the log. Call once, before the first event.
void start_log(std::ostream& out);

/// Sends log lines to standard output.
void start_log();

/// Lines dropped since the last call.
std::uint64_t take_dropped_log_lines();

/// Writes one line as it is.
void write_log_line(std::string const& line);

/// Writes what waits and detaches the log.
void stop_log();

} // namespace lagoonladder::observability

#endif
