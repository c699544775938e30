#include <catch2/catch.hpp>

#include "endpoint_chooser.hpp"
#include "proxy_fixture.hpp"

using namespace lagoonladder;
using namespace lagoonladder::proxy;

namespace
{

constexpr time_point start{seconds(100)};

std::shared_ptr<version::service_index const> with_cold_rate(version::service_map map)
{
    for (auto& service : map.services)
    {
        service.cold_rate = 1;
        service.cold_time = seconds(3);
    }
    return std::make_shared<version::service_index const>(std::move(map));
}

/// Makes this entry the only one and gives all services a bound for cold endpoints.
void bound_cold_endpoints(traffic_view& view)
{
    view.vm = vm_id("own");
    view.serving = {{view.vm, network_address("127.0.0.1:1")}};
    view.services = with_cold_rate(view.services->map());
}

/// The endpoints state that they are cold for this time.
void state_cold(proxy_fixture& system, duration remaining)
{
    system.control.change(
        [&](traffic_view& view)
        {
            for (auto& record : view.endpoints[service_name("plain")])
            {
                ++record.sequence;
                record.cold_remaining = remaining;
            }
        });
}

} // namespace

TEST_CASE("calls beyond the portion of a cold endpoint are refused with a time to retry")
{
    // Guards against an endpoint that crashes because it gets its usual load while it is cold.
    proxy_fixture system;
    auto const& endpoint = system.add_endpoint("plain", "e1");
    system.control.change(bound_cold_endpoints);
    state_cold(system, seconds(60));
    system.proxy.tick();
    auto const refused = system.call("/plain/x", "id-1");
    CHECK(refused.status() == 503);
    REQUIRE(refused.heads.size() == 1);
    auto const* retry_after = refused.heads[0].headers.find("Retry-After");
    REQUIRE(retry_after != nullptr);
    CHECK(std::stod(*retry_after) > 0);
    CHECK(std::stod(*retry_after) <= 1);
    CHECK(endpoint.requests.empty());
    system.context.run_for(std::chrono::milliseconds(1100));
    CHECK(system.call("/plain/x", "id-2").status() == 200);
    CHECK(system.call("/plain/x", "id-3").status() == 503);
    CHECK(endpoint.requests.size() == 1);
    state_cold(system, seconds(0));
    CHECK(system.call("/plain/x", "id-4").status() == 200);
    CHECK(system.call("/plain/x", "id-5").status() == 200);
}

TEST_CASE("an endpoint that states in an answer that it is cold gets no more than its portion")
{
    // Guards against a full load until the next heartbeat arrives.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("plain", "e1");
    endpoint.cold_ms = 60'000;
    system.control.change(bound_cold_endpoints);
    state_cold(system, seconds(0));
    system.proxy.tick();
    CHECK(system.call("/plain/x", "id-1").status() == 200);
    CHECK(system.call("/plain/x", "id-2").status() == 503);
    auto& other = system.add_endpoint("plain", "e2");
    state_cold(system, seconds(0));
    for (int i = 3; i < 9; ++i)
        CHECK(system.call("/plain/x", "id-" + std::to_string(i)).status() == 200);
    CHECK(other.requests.size() >= 3);
}

namespace
{

/// Returns the fraction of prompts that an idle engine gets right after `change`, while the other
/// two have long backlogs.
double idle_engine_share(bool is_learned,
                         std::function<void(endpoint_chooser&, traffic_view&)> const& change)
{
    version::service_map map;
    version::pass_through_service service;
    service.name = service_name("model");
    service.is_engine = true;
    map.services = {service};
    traffic_view view;
    view.services = std::make_shared<version::service_index const>(std::move(map));
    for (auto const* id : {"e1", "e2", "e3"})
    {
        connection::endpoint_record record;
        record.id = endpoint_id(id);
        record.address = network_address(id);
        record.data_centre = data_centre_id(id);
        record.incarnation = incarnation(1);
        record.load.slots = 64;
        view.endpoints[service.name].push_back(record);
    }
    endpoint_chooser chooser({is_learned, {}}, start - seconds(60));
    chooser.pacing().tick(start, view);
    for (auto const* busy : {"e2", "e3"})
        chooser.record_sent_prompt(start, endpoint_id(busy), incarnation(1), {{2, 400'000}});
    change(chooser, view);
    version::pass_through_route route;
    route.has_prefix_affinity = true;
    incoming_call call;
    call.prompt = {{9, 1000}};
    seeded_random random{3};
    int chosen = 0;
    for (int i = 0; i < 400; ++i)
    {
        auto const endpoint = chooser.choose(start, view, route, service.name, call, {}, random);
        chosen += endpoint && endpoint->id == endpoint_id("e1") ? 1 : 0;
    }
    return chosen / 400.0;
}

} // namespace

TEST_CASE("an idle engine that has started or was evacuated does not get all prompts at once")
{
    // Guards against a flood at an engine that has no backlog because it has just started.
    auto const restart = [](endpoint_chooser&, traffic_view& view)
    { view.endpoints[service_name("model")][0].incarnation = incarnation(2); };
    auto const end_evacuation = [](endpoint_chooser& chooser, traffic_view& view)
    {
        chooser.pacing().set_evacuated(start, view, {data_centre_id("e1")});
        chooser.pacing().set_evacuated(start, view, {});
    };
    CHECK(idle_engine_share(true, [](auto&, auto&) {}) == 1);
    CHECK(idle_engine_share(true, restart) < 0.15);
    CHECK(idle_engine_share(true, end_evacuation) < 0.15);
    CHECK(idle_engine_share(false, restart) == 1);
}
