#include <lagoonladder/proxy.hpp>

#include "endpoint_chooser.hpp"
#include "measurement.hpp"
#include "rows.hpp"
#include "sections.hpp"

namespace lagoonladder::capacity
{

/// Measures how long an entry takes to choose the endpoint for one attempt of a pass-through
/// call.
void measure_placement()
{
    for (std::size_t const count : {13, 94, 475, 1900})
    {
        version::service_map map;
        version::pass_through_service service;
        service.name = service_name("model");
        map.services = {service};
        proxy::traffic_view view;
        view.services = std::make_shared<version::service_index const>(std::move(map));
        auto& rows = view.endpoints[service.name];
        for (std::size_t i = 0; i < count; ++i)
            rows.push_back(make_endpoint(i));
        view.data_centre = rows.front().data_centre;
        proxy::endpoint_chooser chooser;
        version::pass_through_route const route;
        proxy::incoming_call call;
        call.id = request_id("placement");
        seeded_random random(1);
        auto const time = median_microseconds(
            9, 20000 / count,
            [&] { chooser.choose(start_time(), view, route, service.name, call, {}, random); });
        print_figure("placement.choose", std::to_string(count) + " endpoints", {{"us", time}});
    }
}

} // namespace lagoonladder::capacity
