#ifndef LAGOONLADDER_PROXY_EVACUATION_WATCH_HPP
#define LAGOONLADDER_PROXY_EVACUATION_WATCH_HPP

#include "proxy_context.hpp"

namespace lagoonladder::proxy
{

/// Returns whether endpoints of the service are serving, but all of them in evacuated data
/// centres.
bool has_only_evacuated_endpoints(traffic_view const& view, service_name const& service);

/// Sends the calls elsewhere that wait for a connection to an endpoint in an evacuated data centre.
/// Without this they would reach the endpoint after the evacuation is known here.
void leave_evacuated_endpoints(proxy_context& context);

} // namespace lagoonladder::proxy

#endif
