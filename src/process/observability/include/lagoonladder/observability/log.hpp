#ifndef LAGOONLADDER_OBSERVABILITY_LOG_HPP
#define LAGOONLADDER_OBSERVABILITY_LOG_HPP

#include <string>

namespace lagoonladder::observability
{

/// Sends log lines to standard error through Boost.Log. Call once, before the
/// first event.
void start_log();

/// Writes one line as it is.
void write_log_line(std::string const& line);

/// Flushes and detaches the log.
void stop_log();

} // namespace lagoonladder::observability

#endif
