#ifndef LAGOONLADDER_DAEMON_EVACUATION_ORDERS_HPP
#define LAGOONLADDER_DAEMON_EVACUATION_ORDERS_HPP

#include <lagoonladder/completion.hpp>
#include <lagoonladder/config.hpp>
#include <lagoonladder/control.hpp>

namespace lagoonladder::daemon
{

/// Commits an operator's order to start or end the evacuation of a data centre and responds once
/// it is committed. Throws refusal if the request is malformed or the data centre is unknown.
void order_evacuation(config::settings const& options, control::control_plane& plane,
                      std::shared_ptr<completion::api_exchange> const& exchange);

/// Returns the evacuations for the operators' status, the ended ones included.
nlohmann::json describe_evacuations(control::control_view const& view);

} // namespace lagoonladder::daemon

#endif
