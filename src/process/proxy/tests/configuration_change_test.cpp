#include <catch2/catch.hpp>

#include "proxy_fixture.hpp"

using namespace lagoonladder;

namespace
{

/// Puts a changed configuration in force at the entry.
void change_map(proxy_fixture& system, std::function<void(version::service_map&)> const& change)
{
    auto map = system.control.view()->services->map();
    ++map.number;
    change(map);
    system.control.change(
        [&](proxy::traffic_view& view)
        { view.services = std::make_shared<version::service_index const>(std::move(map)); });
}

version::pass_through_route& route_of(version::service_map& map, std::string const& prefix)
{
    auto const found = std::find_if(map.routes.begin(), map.routes.end(),
                                    [&](auto const& route) { return route.path_prefix == prefix; });
    REQUIRE(found != map.routes.end());
    return *found;
}

std::string numbered(std::string const& prefix, int number)
{
    return prefix + std::to_string(number);
}

} // namespace

TEST_CASE("a call ends at its time although the configuration changes while it runs")
{
    // Guards against calls without an answer half a second after the timeout of their route.
    for (int change = 0; change < 3; ++change)
    {
        proxy_fixture system;
        auto& endpoint = system.add_endpoint("once", "e1");
        endpoint.mode = endpoint_mode::silent;
        auto const begun = std::chrono::steady_clock::now();
        auto const call = system.start_call("/once/x", "id-1");
        system.run_until([&] { return !endpoint.requests.empty(); });
        change_map(system,
                   [&](version::service_map& map)
                   {
                       auto& route = route_of(map, "/once/");
                       if (change == 0)
                           route.timeout = seconds(30);
                       else if (change == 1)
                           route.path_prefix = "/moved/";
                       else
                           map.accounts.clear();
                   });
        system.run_until([&] { return call.observer->is_over(); });
        INFO("change " << change);
        CHECK(call.observer->status() == 504);
        CHECK(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(800));
        CHECK(system.proxy.open_calls() == 0);
    }
}

TEST_CASE("a route's new timeout holds for the next call")
{
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("plain", "e1");
    endpoint.mode = endpoint_mode::silent;
    change_map(system, [](version::service_map& map)
               { route_of(map, "/plain/").timeout = milliseconds(100); });
    auto const begun = std::chrono::steady_clock::now();
    CHECK(system.call("/plain/x", "id-1").status() == 504);
    CHECK(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(600));
}

TEST_CASE("routes and keys change for calls on connections that are kept")
{
    // Guards against a kept connection that is served by the configuration it was opened under.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("plain", "e1");
    CHECK(system.call("/plain/x", "id-1").status() == 200);
    change_map(system,
               [](version::service_map& map)
               {
                   map.accounts[0].keys = {"key-2"};
                   auto added = route_of(map, "/plain/");
                   added.name = route_name("added");
                   added.path_prefix = "/added/";
                   map.routes.push_back(added);
               });
    CHECK(system.call("/plain/x", "id-2", "", "key-1").status() == 401);
    CHECK(system.call("/plain/x", "id-3", "", "key-2").status() == 200);
    CHECK(system.call("/added/x", "id-4", "", "key-2").status() == 200);
    change_map(system,
               [](version::service_map& map) { route_of(map, "/plain/").path_prefix = "/moved/"; });
    CHECK(system.call("/plain/x", "id-5", "", "key-2").status() == 404);
    CHECK(system.call("/moved/x", "id-6", "", "key-2").status() == 200);
    CHECK(endpoint.requests.size() == 4);
}

TEST_CASE("routes that were added later are served as the first ones")
{
    // Guards against quotas, retries or endpoints that only the first routes have.
    proxy_fixture system;
    auto& bad = system.add_endpoint("plain", "bad");
    bad.mode = endpoint_mode::close_without_answer;
    system.add_endpoint("plain", "good");
    constexpr int routes = 1'000;
    change_map(system,
               [](version::service_map& map)
               {
                   for (int i = 0; i < routes; ++i)
                   {
                       auto added = route_of(map, "/plain/");
                       added.name = route_name(numbered("added-", i));
                       added.path_prefix = numbered("/added-", i) + "/";
                       map.routes.push_back(added);
                   }
               });
    for (int i = 0; i < routes; i += 97)
    {
        INFO(i);
        CHECK(system.call(numbered("/added-", i) + "/x", numbered("id-", i)).status() == 200);
        CHECK(system.call("/plain/x", numbered("first-", i)).status() == 200);
    }
    CHECK(system.control.usage[account_id("account")] == 22);
}

TEST_CASE("a service that a route moves to gets the route's next call")
{
    // Guards against a call that runs at a service to which its route no longer leads.
    proxy_fixture system;
    auto& before = system.add_endpoint("plain", "e1");
    auto& after = system.add_endpoint("once", "e2");
    CHECK(system.call("/plain/x", "id-1").status() == 200);
    change_map(system,
               [](version::service_map& map) {
                   route_of(map, "/plain/").split = {{service_name("once"), 1}};
               });
    CHECK(system.call("/plain/x", "id-2").status() == 200);
    CHECK(before.requests.size() == 1);
    CHECK(after.requests.size() == 1);
}
