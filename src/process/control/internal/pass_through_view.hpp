#ifndef LAGOONLADDER_CONTROL_PASS_THROUGH_VIEW_HPP
#define LAGOONLADDER_CONTROL_PASS_THROUGH_VIEW_HPP

#include <lagoonladder/config.hpp>
#include <lagoonladder/control/control_plane.hpp>
#include <lagoonladder/proxy.hpp>

namespace lagoonladder::control
{

/// The part of a control view that pass-through calls need.
std::shared_ptr<proxy::traffic_view const> make_traffic_view(control_view const& control,
                                                             config::settings const& config);

} // namespace lagoonladder::control

#endif
