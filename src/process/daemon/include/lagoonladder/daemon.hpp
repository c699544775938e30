#ifndef LAGOONLADDER_DAEMON_HPP
#define LAGOONLADDER_DAEMON_HPP

/// Public header of the daemon library.

#include <lagoonladder/daemon/control_plane.hpp>
#include <lagoonladder/daemon/run.hpp>
#include <lagoonladder/daemon/settings.hpp>

#endif
