#include <catch2/catch.hpp>

#include "proxy_fixture.hpp"

using namespace lagoonladder;

namespace
{

/// Returns the fixture's configuration with the next configuration number, one more route and one
/// more key.
std::shared_ptr<version::service_index const> with_added_route_and_key(proxy_fixture const& system)
{
    auto map = system.control.view()->services->map();
    ++map.number;
    auto route = map.routes[0];
    route.name = route_name("added");
    route.path_prefix = "/added/";
    map.routes.push_back(route);
    map.accounts[0].keys.push_back("key-added");
    return std::make_shared<version::service_index const>(std::move(map));
}

/// Notifies the entry that a newer configuration is in force, which it has not read yet.
void announce_newer_configuration(proxy_fixture& system)
{
    system.control.change([](proxy::traffic_view& view) { view.configuration_expiry = {}; });
}

} // namespace

TEST_CASE("an entry that waits for a newer configuration answers 503 for an unknown route or key")
{
    // Guards against 404 and 401 for a route and a key that the newer configuration may have.
    proxy_fixture system;
    system.add_endpoint("plain", "e1");
    CHECK(system.call("/added/x", "id-1").status() == 404);
    CHECK(system.call("/plain/x", "id-2", "", "key-added").status() == 401);
    announce_newer_configuration(system);
    for (auto const& answer :
         {system.call("/added/x", "id-3"), system.call("/plain/x", "id-4", "", "key-added")})
    {
        CHECK(answer.status() == 503);
        REQUIRE(answer.heads.size() == 1);
        CHECK(answer.heads[0].headers.find("Retry-After") != nullptr);
    }
}

TEST_CASE("a view that was not replaced in time leads to 503 for an unknown route or key")
{
    // Guards against 404 and 401 by a view that the control thread is too late to replace.
    proxy_fixture system;
    system.add_endpoint("plain", "e1");
    system.control.change([&](proxy::traffic_view& view)
                          { view.configuration_expiry = system.time.now() + milliseconds(300); });
    CHECK(system.call("/added/x", "id-1").status() == 404);
    CHECK(system.call("/plain/x", "id-2", "", "key-added").status() == 401);
    system.context.run_for(std::chrono::milliseconds(350));
    CHECK(system.call("/added/x", "id-3").status() == 503);
    CHECK(system.call("/plain/x", "id-4", "", "key-added").status() == 503);
    CHECK(system.call("/plain/x", "id-5").status() == 200);
}

TEST_CASE("calls that the current configuration allows do not wait for a newer one")
{
    // Guards against an entry that serves nothing until it has read a newer configuration.
    proxy_fixture system;
    system.add_endpoint("plain", "e1");
    announce_newer_configuration(system);
    auto const start_time = std::chrono::steady_clock::now();
    CHECK(system.call("/plain/x", "id-1").status() == 200);
    CHECK(std::chrono::steady_clock::now() - start_time < std::chrono::milliseconds(200));
}

TEST_CASE("a call on a route of the newer configuration is served once the entry has read it")
{
    // Guards against refusing calls that arrive shortly before the entry has read a new route.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("plain", "e1");
    announce_newer_configuration(system);
    auto const call = system.start_call("/added/x", "id-1", "", "key-added");
    system.context.run_for(std::chrono::milliseconds(100));
    CHECK_FALSE(call.observer->is_over());
    auto const newer = with_added_route_and_key(system);
    system.control.change([&](proxy::traffic_view& view) { view.services = newer; });
    system.run_until([&] { return call.observer->is_over(); });
    CHECK(call.observer->status() == 200);
    CHECK(endpoint.requests.size() == 1);
    CHECK(system.proxy.open_calls() == 0);
}

TEST_CASE("a call on a route that is missing from the newer configuration too gets a 404")
{
    // Guards against a 503, after which the caller would retry a call that has no route.
    proxy_fixture system;
    announce_newer_configuration(system);
    auto const call = system.start_call("/nowhere/x", "id-1");
    system.context.run_for(std::chrono::milliseconds(50));
    auto const newer = with_added_route_and_key(system);
    system.control.change(
        [&](proxy::traffic_view& view)
        {
            view.services = newer;
            view.configuration_expiry = time_point::max();
        });
    system.run_until([&] { return call.observer->is_over(); });
    CHECK(call.observer->status() == 404);
}
