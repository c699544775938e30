#ifndef LAGOONLADDER_OBSERVABILITY_LOG_HPP
#define LAGOONLADDER_OBSERVABILITY_LOG_HPP

#include <cstdint>
#include <iosfwd>
#include <string>

namespace lagoonladder::observability
{

/// Maximum number of lines that wait for the writer thread; further lines are dropped and
/// counted.
inline constexpr std::size_t max_waiting_log_lines = 2048;

/// Writes log lines to `out` through Boost.Log in a separate thread, so that a slow reader of
/// the log blocks no other thread. To be called once, before the first event.
void start_log(std::ostream& out);

/// Writes log lines to standard output.
void start_log();

/// Returns the number of lines dropped since the last call and resets it.
std::uint64_t take_dropped_log_lines();

/// Queues one line for the log without further formatting. Does nothing while the log is stopped.
void write_log_line(std::string const& line);

/// Writes the waiting lines and stops the log.
void stop_log();

} // namespace lagoonladder::observability

#endif
