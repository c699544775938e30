#ifndef LAGOONLADDER_DAEMON_PASS_THROUGH_VIEW_HPP
#define LAGOONLADDER_DAEMON_PASS_THROUGH_VIEW_HPP

#include <lagoonladder/daemon/control_plane.hpp>
#include <lagoonladder/daemon/settings.hpp>
#include <lagoonladder/proxy.hpp>

namespace lagoonladder::daemon
{

/// The part of a control view that pass-through calls need.
std::shared_ptr<proxy::traffic_view const> make_traffic_view(control_view const& control,
                                                             settings const& config);

} // namespace lagoonladder::daemon

#endif
