#ifndef LAGOONLADDER_CONTROL_HPP
#define LAGOONLADDER_CONTROL_HPP

/// Public header of the control library: the control thread of a daemon, the replicated state, and
/// the directories of entries and endpoints.

#include <lagoonladder/control/cluster_token.hpp>
#include <lagoonladder/control/control_loop.hpp>
#include <lagoonladder/control/control_plane.hpp>
#include <lagoonladder/control/data_centres.hpp>
#include <lagoonladder/control/event_collector.hpp>
#include <lagoonladder/control/peer_channels.hpp>
#include <lagoonladder/control/service_versions.hpp>

#endif
