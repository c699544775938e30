#ifndef LAGOONLADDER_DAEMON_HPP
#define LAGOONLADDER_DAEMON_HPP

/// Public header of the daemon library.

#include <lagoonladder/daemon/run.hpp>

#endif
