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
constexpr connection::load_report roomy{1, 0, 4, 0};

void set_quota(proxy_fixture& system, std::optional<version::token_quota> const& quota)
{
    system.control.change(
        [&](proxy::traffic_view& view)
        {
            auto map = view.services->map();
            map.accounts[0].quota = quota;
            view.services = std::make_shared<version::service_index const>(std::move(map));
        });
}

/// Adds an account with the key "key-2".
void add_other_account(proxy_fixture& system)
{
    system.control.change(
        [&](proxy::traffic_view& view)
        {
            auto map = view.services->map();
            version::pass_through_account other;
            other.name = account_id("other");
            other.keys = {"key-2"};
            map.accounts.push_back(other);
            view.services = std::make_shared<version::service_index const>(std::move(map));
        });
}

bool has_sent_to_wait(proxy_fixture& system)
{
    return system.metrics.expose().find("sent_to_wait") != std::string::npos;
}

/// Serves the other account, fills the engines and checks that a call of the account is sent soon.
void check_preferred_when_full(proxy_fixture& system)
{
    for (int i = 0; i < 10; ++i)
        CHECK(system.call("/stream/x", "id-o" + std::to_string(i), "", "key-2").status() == 200);
    set_engine_load(system, "stream", full);
    system.context.run_for(std::chrono::milliseconds(60));
    for (int i = 0; i < 12 && !has_sent_to_wait(system); ++i)
        system.call("/stream/x", "id-f" + std::to_string(i));
    CHECK(has_sent_to_wait(system));
}

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

TEST_CASE("a call that is refused for its quota does not count as served")
{
    // Guards against an account that looks served while its quota refuses its calls, so that it is
    // refused until long after the others when the engines have too little room.
    for (std::uint32_t const entries : {1U, 2U})
    {
        proxy_fixture system(overload_options());
        add_other_account(system);
        system.add_endpoint("stream", "e1");
        set_engine_load(system, "stream", roomy);
        // Without replies, each call asks the other entries.
        system.control.others_reply = false;
        system.control.change([&](proxy::traffic_view& view) { view.entries = entries; });
        set_quota(system, version::token_quota{1, 0, 1'000'000});
        // Takes the tokens that accrued since the start.
        CHECK(system.call("/stream/x", "id-0").status() == 200);
        for (int i = 0; i < 10; ++i)
            CHECK(system.call("/stream/x", "id-q" + std::to_string(i)).status() == 429);
        set_quota(system, std::nullopt);
        check_preferred_when_full(system);
    }
}

TEST_CASE("a call that an endpoint refuses or fails does not count as served")
{
    // Guards against an account that looks served although its calls fail at the engines.
    for (auto const mode : {endpoint_mode::refuse, endpoint_mode::fail})
    {
        proxy_fixture system(overload_options());
        add_other_account(system);
        auto& engine = system.add_endpoint("stream", "e1");
        set_engine_load(system, "stream", roomy);
        engine.mode = mode;
        for (int i = 0; i < 10; ++i)
            CHECK(system.call("/stream/x", "id-q" + std::to_string(i)).status() >= 500);
        engine.mode = endpoint_mode::answer;
        // The endpoint is excluded for some seconds after its failures.
        system.add_endpoint("stream", "e2");
        set_engine_load(system, "stream", roomy);
        check_preferred_when_full(system);
    }
}

TEST_CASE("calls of both versions of a moving service are judged by their own engines")
{
    // Guards against calls that are refused, or sent, for the load of the other version's engines.
    proxy_fixture system(overload_options());
    system.add_endpoint("stream", "e1");
    system.add_endpoint("stream", "e2");
    set_engine_load(system, "stream", roomy);
    version::traffic_split const split{version_name("v1"), version_name("v2"), 0.5};
    system.control.change(
        [&](proxy::traffic_view& view)
        {
            auto& engines = view.endpoints[service_name("stream")];
            engines[0].load = full;
            engines[1].version = version_name("v2");
            view.splits[service_name("stream")] = split;
        });
    for (int i = 0; i < 20; ++i)
    {
        request_id const id("id-" + std::to_string(i));
        bool const is_stable = split.choose(id) == split.stable;
        CHECK(system.call("/stream/x", id.value()).status() == (is_stable ? 503 : 200));
    }
}

TEST_CASE("a call with home regions is judged by the engines of its regions")
{
    // Guards against calls that wait at the full engines of their regions until their deadline, and
    // against refusals for the load of engines that the call may not use.
    proxy_fixture system(overload_options());
    system.add_endpoint("stream", "e1");
    system.add_endpoint("stream", "e2");
    set_engine_load(system, "stream", roomy);
    auto const call_in = [&](char const* region, char const* id)
    {
        system.control.change(
            [&](proxy::traffic_view& view)
            {
                auto map = view.services->map();
                for (auto& route : map.routes)
                    route.regions = {region_id(region)};
                view.services = std::make_shared<version::service_index const>(std::move(map));
                auto& engines = view.endpoints[service_name("stream")];
                engines[0].load = full;
                engines[1].data_centre = data_centre_id("e");
                view.regions = {{data_centre_id("d"), region_id("near")},
                                {data_centre_id("e"), region_id("far")}};
            });
        return system.call("/stream/x", id).status();
    };
    CHECK(call_in("near", "id-1") == 503);
    CHECK(call_in("far", "id-2") == 200);
    CHECK(call_in("near", "id-3") == 503);
}
