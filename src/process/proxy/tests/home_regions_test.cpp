#include <catch2/catch.hpp>

#include "endpoint_chooser.hpp"
#include "home_regions.hpp"
#include "proxy_fixture.hpp"

using namespace lagoonladder;
using namespace lagoonladder::proxy;

namespace
{

region_id const tasmania("tas");
region_id const victoria("vic");
service_name const service("model");

connection::endpoint_record make_endpoint(char const* data_centre, char const* version)
{
    connection::endpoint_record record;
    record.id = endpoint_id(data_centre);
    record.address = network_address(std::string(data_centre) + ":1");
    record.version = version_name(version);
    record.data_centre = data_centre_id(data_centre);
    return record;
}

traffic_view make_view()
{
    traffic_view view;
    view.endpoints[service] = {make_endpoint("hob-a", "v1"), make_endpoint("mel-a", "v2"),
                               make_endpoint("unknown", "v1")};
    view.regions = {{data_centre_id("hob-a"), tasmania}, {data_centre_id("mel-a"), victoria}};
    return view;
}

} // namespace

TEST_CASE("the regions of a route and of an account both bind")
{
    // Guards against a call that is sent to a region that its route or its account excludes.
    version::pass_through_route route;
    version::pass_through_account account;
    CHECK_FALSE(find_regions(route, &account));
    account.regions = {tasmania};
    CHECK_FALSE(find_regions(route, nullptr));
    CHECK(find_regions(route, &account) == std::set{tasmania});
    route.regions = {tasmania, victoria};
    CHECK(find_regions(route, nullptr) == std::set{tasmania, victoria});
    CHECK(find_regions(route, &account) == std::set{tasmania});
    route.regions = {victoria};
    CHECK(find_regions(route, &account) == std::set<region_id>());
}

TEST_CASE("only endpoints in the permitted regions are usable")
{
    // Guards against endpoints elsewhere, or whose region is not known, and against a version that
    // is chosen although it has endpoints in other regions only.
    auto view = make_view();
    request_id const call("id");
    CHECK(usable_endpoints(view, service, call).size() == 3);
    auto const usable = usable_endpoints(view, service, call, std::set{tasmania});
    REQUIRE(usable.size() == 1);
    CHECK(usable[0]->id == endpoint_id("hob-a"));
    CHECK(usable_endpoints(view, service, call, std::set<region_id>()).empty());
    view.splits[service] = {version_name("v2"), version_name(), 0};
    CHECK(usable_endpoints(view, service, call, std::set{tasmania}).size() == 1);
    view.evacuated = {data_centre_id("hob-a")};
    CHECK(usable_endpoints(view, service, call, std::set{tasmania}).empty());
}

TEST_CASE("a call without an endpoint in its home regions is refused")
{
    // Guards against calls that leave their region when its endpoints are gone.
    proxy_fixture system;
    auto& endpoint = system.add_endpoint("once", "e1");
    auto const restrict_to = [&](region_id const& region)
    {
        auto map = system.control.view()->services->map();
        for (auto& route : map.routes)
            route.regions = {region};
        system.control.change(
            [&](traffic_view& view)
            {
                view.services = std::make_shared<version::service_index const>(map);
                view.regions = {{data_centre_id("d"), tasmania}};
            });
    };
    restrict_to(victoria);
    auto const refused = system.call("/once/x", "id-1");
    CHECK(refused.status() == 503);
    CHECK(refused.heads[0].headers.find("Retry-After") != nullptr);
    CHECK(endpoint.requests.empty());
    restrict_to(tasmania);
    CHECK(system.call("/once/x", "id-2").status() == 200);
}
