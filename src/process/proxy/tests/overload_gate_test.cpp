#include <catch2/catch.hpp>

#include "proxy_fixture.hpp"

using namespace lagoonladder;

namespace
{

/// Makes the service one of model engines, all of which state this load.
void set_engine_load(proxy_fixture& system, std::string const& service,
                     connection::load_report const& load)
{
    system.control.change(
        [&](proxy::traffic_view& view)
        {
            auto map = view.services->map();
            for (auto& configured : map.services)
                configured.is_engine = configured.name == service_name(service);
            view.services = std::make_shared<version::service_index const>(std::move(map));
            for (auto& endpoint : view.endpoints[service_name(service)])
                endpoint.load = load;
        });
}

proxy::proxy_options overload_options()
{
    proxy::proxy_options options{1.0, 100, {}};
    options.has_overload_admission = true;
    return options;
}

constexpr connection::load_report full{4, 400, 4, 0};

} // namespace

TEST_CASE("a call beyond the capacity of the engines is refused at once")
{
    // Guards against calls that wait at an engine until their deadline, and against refused calls
    // that return in synchrony or too late.
    proxy_fixture system(overload_options());
    auto& engine = system.add_endpoint("stream", "e1");
    set_engine_load(system, "stream", full);
    double last_retry = -1;
    for (auto const* id : {"id-1", "id-2", "id-3"})
    {
        auto const answer = system.call("/stream/x", id);
        REQUIRE(answer.status() == 503);
        auto const* retry = answer.heads[0].headers.find("Retry-After");
        REQUIRE(retry != nullptr);
        auto const seconds_left = std::stod(*retry);
        CHECK(seconds_left > 0);
        CHECK(seconds_left <= 2.0 / 3);
        CHECK(seconds_left != last_retry);
        last_retry = seconds_left;
    }
    CHECK(engine.requests.empty());
    CHECK(system.metrics.expose().find("wait_too_long") != std::string::npos);
}

TEST_CASE("calls are sent while engines have room, to other services and without the setting")
{
    // Guards against refusals while slots are free, and against a change for deployments that do
    // not switch the decision on.
    proxy_fixture on(overload_options());
    on.add_endpoint("stream", "e1");
    on.add_endpoint("plain", "e2");
    set_engine_load(on, "stream", {1, 0, 4, 0});
    CHECK(on.call("/stream/x", "id-1").status() == 200);
    set_engine_load(on, "stream", full);
    CHECK(on.call("/plain/x", "id-2").status() == 200);
    proxy_fixture off;
    off.add_endpoint("stream", "e1");
    set_engine_load(off, "stream", full);
    CHECK(off.call("/stream/x", "id-1").status() == 200);
}

TEST_CASE("a call that is refused for lack of capacity takes no tokens of its account")
{
    // Guards against accounts that are refused for their quota after calls that never ran.
    proxy_fixture system(overload_options());
    system.add_endpoint("stream", "e1");
    set_engine_load(system, "stream", full);
    system.control.change(
        [&](proxy::traffic_view& view)
        {
            auto map = view.services->map();
            map.accounts[0].quota = version::token_quota{100, 0, 100};
            view.services = std::make_shared<version::service_index const>(std::move(map));
        });
    system.context.run_for(std::chrono::milliseconds(1'100));
    for (auto const* id : {"id-1", "id-2", "id-3"})
        CHECK(system.call("/stream/x", id).status() == 503);
    set_engine_load(system, "stream", {1, 0, 4, 0});
    system.context.run_for(std::chrono::milliseconds(60));
    CHECK(system.call("/stream/x", "id-4").status() == 200);
}
