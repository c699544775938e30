#ifndef LAGOONLADDER_DAEMON_RUN_HPP
#define LAGOONLADDER_DAEMON_RUN_HPP

#include <string>

#include <lagoonladder/base.hpp>

namespace lagoonladder::daemon
{

/// Base class of the errors that the daemon layer throws.
class daemon_error : public error
{
public:
    using error::error;
};

/// Runs the daemon until SIGTERM or SIGINT, then drains it. Returns the exit code of the process:
/// 0 after a complete drain, 1 when requests were still open at the end of timing.drain_timeout.
/// A second SIGTERM or SIGINT ends the drain early. SIGHUP reloads the settings. Throws
/// daemon_error, or an error of a lower layer, when the daemon cannot start.
int run_daemon(std::string const& settings_path);

} // namespace lagoonladder::daemon

#endif
