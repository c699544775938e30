#ifndef LAGOONLADDER_DAEMON_RUN_HPP
#define LAGOONLADDER_DAEMON_RUN_HPP

#include <string>

#include <lagoonladder/base.hpp>

namespace lagoonladder::daemon
{

/// Errors of the daemon layer.
class daemon_error : public error
{
public:
    using error::error;
};

/// Runs the daemon until SIGTERM or SIGINT, then drains it. Returns the exit
/// code: 0 after a complete drain, 1 when requests were still open at the end of
/// timing.drain_timeout. A second signal ends the drain early.
/// SIGHUP reads the settings again. Throws an error of its own layer or a lower one when
/// the daemon cannot start.
int run_daemon(std::string const& settings_path);

} // namespace lagoonladder::daemon

#endif
