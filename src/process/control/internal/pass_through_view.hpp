#ifndef LAGOONLADDER_CONTROL_PASS_THROUGH_VIEW_HPP
#define LAGOONLADDER_CONTROL_PASS_THROUGH_VIEW_HPP

#include <lagoonladder/config.hpp>
#include <lagoonladder/control/control_plane.hpp>
#include <lagoonladder/proxy.hpp>

namespace lagoonladder::control
{

/// Extracts the part of a control view that pass-through calls need.
std::shared_ptr<proxy::traffic_view const> make_traffic_view(control_view const& control,
                                                             config::settings const& config);

/// Demand for the own entry row: by account while entries split quotas by it, otherwise only what
/// was granted in total, under an empty account id. The total serves to order engines, which calls
/// that are refused by their quota do not need.
std::map<account_id, double> demand_to_publish(proxy::traffic_view const& view,
                                               std::map<account_id, double> const& demand,
                                               double granted);

} // namespace lagoonladder::control

#endif
