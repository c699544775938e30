#include "evacuation_watch.hpp"

#include <algorithm>

#include "proxied_call.hpp"

namespace lagoonladder::proxy
{

bool has_only_evacuated_endpoints(traffic_view const& view, service_name const& service)
{
    auto const found = view.endpoints.find(service);
    if (found == view.endpoints.end())
        return false;
    auto const is_serving = [](connection::endpoint_record const& endpoint)
    { return endpoint.state == connection::endpoint_state::serving; };
    auto const& rows = found->second;
    return std::any_of(rows.begin(), rows.end(), is_serving) &&
           std::all_of(rows.begin(), rows.end(),
                       [&](auto const& endpoint) {
                           return !is_serving(endpoint) ||
                                  view.evacuated.contains(endpoint.data_centre);
                       });
}

void leave_evacuated_endpoints(proxy_context& context)
{
    auto const view = context.dependencies.control.view();
    if (view->evacuated.empty())
        return;
    // A call that finds no other endpoint ends and is removed from the running ones.
    for (auto const& [key, weak_call] : std::map(context.running_calls))
    {
        if (auto const call = weak_call.lock())
            call->leave(view->evacuated);
    }
}

} // namespace lagoonladder::proxy
