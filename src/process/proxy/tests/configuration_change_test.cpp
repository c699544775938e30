#include <catch2/catch.hpp>

#include "proxy_fixture.hpp"

using namespace lagoonladder;

namespace
{

/// Applies a changed copy of the current configuration to the entry, with the next number.
void apply_change(proxy_fixture& system, std::function<void(version::service_map&)> const& change)
{
    auto map = system.control.view()->services->map();
    ++map.number;
    change(map);
    system.control.change(
        [&](proxy::traffic_view& view)
        { view.services = std::make_shared<version::service_index const>(std::move(map)); });
}

version::pass_through_route& find_route(version::service_map& map, std::string const& prefix)
{
    auto const found = std::find_if(map.routes.begin(), map.routes.end(),
                                    [&](auto const& route) { return route.path_prefix == prefix; });
    REQUIRE(found != map.routes.end());
    return *found;
}

std::string append_number(std::string const& prefix, int number)
{
    return prefix + std::to_string(number);
}

} // namespace

TEST_CASE("a call ends at its deadline although the configuration changes while it runs")
{
    // Guards against calls without a response half a second after the timeout of their route.
    for (int change = 0; change < 3; ++change)
    {
        proxy_fixture system;
        auto& endpoint = system.add_endpoint("once", "e1");
        endpoint.mode = endpoint_mode::silent;
        auto const start_time = std::chrono::steady_clock::now();
        auto const call = system.start_call("/once/x", "id-1");
        system.run_until([&] { return !endpoint.requests.empty(); });
        apply_change(system,
                     [&](version::service_map& map)
                     {
                         auto& route = find_route(map, "/once/");
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
        CHECK(std::chrono::steady_clock::now() - start_time < std::chrono::milliseconds(800));
        CHECK(system.proxy.open_calls() == 0);
    }
}

TEST_CASE("a route's new timeout applies to the next call")
{
    // Guards against calls that run until the timeout that their route had before.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("plain", "e1");
    endpoint.mode = endpoint_mode::silent;
    apply_change(system, [](version::service_map& map)
                 { find_route(map, "/plain/").timeout = milliseconds(100); });
    auto const start_time = std::chrono::steady_clock::now();
    CHECK(system.call("/plain/x", "id-1").status() == 504);
    CHECK(std::chrono::steady_clock::now() - start_time < std::chrono::milliseconds(600));
}

TEST_CASE("changed routes and keys apply to calls on kept-alive connections")
{
    // Guards against a kept-alive connection that is served by the configuration under which it was
    // opened.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("plain", "e1");
    CHECK(system.call("/plain/x", "id-1").status() == 200);
    apply_change(system,
                 [](version::service_map& map)
                 {
                     map.accounts[0].keys = {"key-2"};
                     auto added = find_route(map, "/plain/");
                     added.name = route_name("added");
                     added.path_prefix = "/added/";
                     map.routes.push_back(added);
                 });
    CHECK(system.call("/plain/x", "id-2", "", "key-1").status() == 401);
    CHECK(system.call("/plain/x", "id-3", "", "key-2").status() == 200);
    CHECK(system.call("/added/x", "id-4", "", "key-2").status() == 200);
    apply_change(system, [](version::service_map& map)
                 { find_route(map, "/plain/").path_prefix = "/moved/"; });
    CHECK(system.call("/plain/x", "id-5", "", "key-2").status() == 404);
    CHECK(system.call("/moved/x", "id-6", "", "key-2").status() == 200);
    CHECK(endpoint.requests.size() == 4);
}

TEST_CASE("an empty list of accounts admits nobody but on anonymous routes")
{
    // Guards against a service that opens to everybody when its last account is removed.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("plain", "e1");
    auto& open_endpoint = system.add_endpoint("once", "e2");
    apply_change(system,
                 [](version::service_map& map)
                 {
                     map.accounts.clear();
                     find_route(map, "/once/").is_anonymous = true;
                 });
    CHECK(system.call("/plain/x", "id-1", "", "key-1").status() == 401);
    CHECK(system.call("/plain/x", "id-2", "", "key-2").status() == 401);
    CHECK(system.call("/plain/x", "id-3", "", "").status() == 401);
    CHECK(endpoint.requests.empty());
    CHECK(system.call("/once/x", "id-4", "", "").status() == 200);
    CHECK(open_endpoint.requests.size() == 1);

    apply_change(system, [](version::service_map& map) { map.requires_key = false; });
    CHECK(system.call("/plain/x", "id-5", "", "key-2").status() == 200);
}

TEST_CASE("routes added later are served like the first ones")
{
    // Guards against quotas, retries or endpoints that work for the first routes only.
    proxy_fixture system;
    auto& failing_endpoint = system.add_endpoint("plain", "bad");
    failing_endpoint.mode = endpoint_mode::close_without_answer;
    system.add_endpoint("plain", "good");
    constexpr int route_count = 1'000;
    apply_change(system,
                 [](version::service_map& map)
                 {
                     for (int i = 0; i < route_count; ++i)
                     {
                         auto added = find_route(map, "/plain/");
                         added.name = route_name(append_number("added-", i));
                         added.path_prefix = append_number("/added-", i) + "/";
                         map.routes.push_back(added);
                     }
                 });
    for (int i = 0; i < route_count; i += 97)
    {
        INFO(i);
        CHECK(system.call(append_number("/added-", i) + "/x", append_number("id-", i)).status() ==
              200);
        CHECK(system.call("/plain/x", append_number("first-", i)).status() == 200);
    }
    CHECK(system.control.usage[account_id("account")] == 22);
}

TEST_CASE("a route's next call goes to the service that the route was changed to")
{
    // Guards against a call that is sent to the service that its route used before.
    proxy_fixture system;
    auto& previous_endpoint = system.add_endpoint("plain", "e1");
    auto& current_endpoint = system.add_endpoint("once", "e2");
    CHECK(system.call("/plain/x", "id-1").status() == 200);
    apply_change(system,
                 [](version::service_map& map) {
                     find_route(map, "/plain/").split = {{service_name("once"), 1}};
                 });
    CHECK(system.call("/plain/x", "id-2").status() == 200);
    CHECK(previous_endpoint.requests.size() == 1);
    CHECK(current_endpoint.requests.size() == 1);
}
