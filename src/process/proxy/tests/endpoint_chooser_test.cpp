#include <catch2/catch.hpp>

#include "endpoint_chooser.hpp"

using namespace lagoonladder;
using namespace lagoonladder::proxy;

namespace
{

time_point const start{seconds(100)};

/// A chooser with a service of three model engines, and the route to it.
class engine_chooser_fixture
{
public:
    engine_chooser_fixture()
    {
        version::service_map map;
        version::pass_through_service service;
        service.name = service_name("model");
        service.is_engine = true;
        map.services = {service};
        this->route.has_prefix_affinity = true;
        this->view.services = std::make_shared<version::service_index const>(std::move(map));
        for (auto const* id : {"e1", "e2", "e3"})
        {
            connection::endpoint_record record;
            record.id = endpoint_id(id);
            record.address = network_address(id);
            record.incarnation = incarnation(1);
            record.load.slots = 64;
            this->view.endpoints[service.name].push_back(record);
        }
    }

    std::string choose(request::prompt_parts const& prompt,
                       std::vector<endpoint_id> const& excluded = {})
    {
        incoming_call call;
        call.id = request_id("id");
        call.prompt = prompt;
        auto const chosen = this->chooser.choose(
            start, this->view, this->route, service_name("model"), call, excluded, this->random);
        return chosen ? chosen->id.value() : "";
    }

    void send(std::string const& engine, request::prompt_parts const& prompt)
    {
        this->chooser.record_sent_prompt(start, endpoint_id(engine), incarnation(1), prompt);
    }

    endpoint_chooser chooser;
    traffic_view view;
    version::pass_through_route route;
    seeded_random random{7};
};

} // namespace

TEST_CASE("a prompt goes to the engine that has its prefix in memory")
{
    // Guards against prefixes that are computed again at another engine.
    engine_chooser_fixture engines;
    engines.send("e2", {{1, 20'000}});
    engines.send("e1", {{2, 40'000}});
    engines.send("e3", {{3, 40'000}});
    for (int i = 0; i < 20; ++i)
        CHECK(engines.choose({{1, 20'000}, {9, 100}}) == "e2");
}

TEST_CASE("a prompt goes to another engine when recomputing its prefix there is faster")
{
    // Guards against calls with a frequent shared prefix that queue at one engine while others are
    // idle.
    engine_chooser_fixture engines;
    engines.send("e2", {{1, 20'000}});
    engines.send("e2", {{4, 200'000}});
    for (int i = 0; i < 20; ++i)
        CHECK(engines.choose({{1, 20'000}, {9, 100}}) != "e2");
}

TEST_CASE("an engine that failed the call is not chosen again")
{
    // Guards against retries at the failed engine because it has the prefix of the prompt.
    engine_chooser_fixture engines;
    engines.send("e2", {{1, 20'000}});
    for (int i = 0; i < 20; ++i)
        CHECK(engines.choose({{1, 20'000}, {9, 100}}, {endpoint_id("e2")}) != "e2");
    CHECK(engines.choose({{1, 1}}, {endpoint_id("e1"), endpoint_id("e2"), endpoint_id("e3")})
              .empty());
}

TEST_CASE("an engine that states to be slow or full gets no new prompt")
{
    // Guards against prompts for an engine whose machine is busy with other work, and against
    // prompts that wait for a slot while other engines have free ones.
    engine_chooser_fixture engines;
    connection::load_report load;
    load.running = 10;
    load.relative_time = 1;
    for (int i = 10; i > 0; --i)
        engines.chooser.record_load(start - seconds(i), endpoint_id("e1"), load);
    load.relative_time = 3;
    engines.chooser.record_load(start, endpoint_id("e1"), load);
    load.running = 64;
    load.waiting = 26;
    load.relative_time = 1;
    engines.chooser.record_load(start, endpoint_id("e2"), load);
    load.running = 10;
    load.waiting = 0;
    engines.chooser.record_load(start, endpoint_id("e3"), load);
    for (std::uint64_t i = 0; i < 20; ++i)
        CHECK(engines.choose({{i, 20'000}, {100 + i, 100}}) == "e3");
}

TEST_CASE("a load header without a readable number of requests states no load")
{
    // Guards against a busy endpoint that counts as idle because one figure could not be read.
    engine_chooser_fixture engines;
    connection::load_report load;
    load.running = 40;
    engines.chooser.record_load(start, endpoint_id("e1"), load);
    load.running = 0;
    load.has_running = false;
    engines.chooser.record_load(start, endpoint_id("e1"), load);
    CHECK(engines.chooser.load(start, endpoint_id("e1")) > 30);
}

namespace
{

connection::endpoint_record make_record(std::string const& id, std::string const& address,
                                        std::uint64_t incarnation_number,
                                        std::string const& version)
{
    connection::endpoint_record record;
    record.id = endpoint_id(id);
    record.address = network_address(address);
    record.incarnation = incarnation(incarnation_number);
    record.version = version_name(version);
    return record;
}

/// Returns the ids of the endpoints that calls may be sent to, in their order in the view.
std::string usable_ids(traffic_view const& view)
{
    std::string ids;
    for (auto const* endpoint : usable_endpoints(view, service_name("s"), request_id("id")))
        ids += (ids.empty() ? "" : " ") + endpoint->id.value();
    return ids;
}

} // namespace

TEST_CASE("an endpoint whose address another one has taken over gets no calls")
{
    // Guards against calls to an endpoint that was replaced while its record is still in the view,
    // also when the later endpoint is not serving.
    traffic_view view;
    auto& records = view.endpoints[service_name("s")];
    records = {make_record("old", "a:1", 1, "v1"), make_record("other", "b:1", 1, "v1"),
               make_record("new", "a:1", 2, "v1")};
    CHECK(usable_ids(view) == "other new");
    records[2].state = connection::endpoint_state::leaving;
    CHECK(usable_ids(view) == "other");
}

TEST_CASE("endpoints of a reversed version or of one other than the stable version get no calls")
{
    // Guards against calls to versions without a share of the traffic, and against refusals while
    // no endpoint has the stable version.
    traffic_view view;
    view.endpoints[service_name("s")] = {make_record("e1", "a:1", 1, "v1"),
                                         make_record("e2", "b:1", 1, "v2"),
                                         make_record("e3", "c:1", 1, "v3")};
    CHECK(usable_ids(view) == "e1 e2 e3");
    view.reversed[service_name("s")] = {version_name("v2")};
    CHECK(usable_ids(view) == "e1 e3");
    view.splits[service_name("s")].stable = version_name("v3");
    CHECK(usable_ids(view) == "e3");
    view.splits[service_name("s")].stable = version_name("v4");
    CHECK(usable_ids(view) == "e1 e3");
}

TEST_CASE("a reversed version is used if it was not shown to be worse and there is no other")
{
    // Guards against a service that refuses all calls for good while sound endpoints run, and
    // against calls to a version that was shown to be worse.
    traffic_view view;
    auto& records = view.endpoints[service_name("s")];
    records = {make_record("e1", "a:1", 1, "v1"), make_record("e2", "b:1", 1, "v2"),
               make_record("e3", "c:1", 1, "v3")};
    view.reversed[service_name("s")] = {version_name("v2"), version_name("v3")};
    view.undecided[service_name("s")] = {version_name("v2")};
    CHECK(usable_ids(view) == "e1");
    records[0].state = connection::endpoint_state::leaving;
    CHECK(usable_ids(view) == "e2");
    records[1].state = connection::endpoint_state::leaving;
    CHECK(usable_ids(view).empty());
}

TEST_CASE("a candidate version does not get the calls of a stable version without endpoints")
{
    // Guards against a bad version that gets all calls because the endpoints of the old one crashed
    // or were cut off during the move.
    traffic_view view;
    view.endpoints[service_name("s")] = {make_record("e1", "a:1", 1, "v2")};
    auto& split = view.splits[service_name("s")];
    split = {version_name("v1"), version_name("v2"), 0.3};
    int used = 0;
    for (int i = 0; i < 200; ++i)
        used += usable_endpoints(view, service_name("s"), request_id(std::to_string(i))).empty()
                    ? 0
                    : 1;
    CHECK(used > 30);
    CHECK(used < 90);
    split.candidate_share = 0.95;
    for (int i = 0; i < 200; ++i)
        CHECK_FALSE(
            usable_endpoints(view, service_name("s"), request_id(std::to_string(i))).empty());
}

TEST_CASE("entries of a large system choose the engine expected to have a shared prefix")
{
    // Guards against shared prefixes that each entry has computed at a different engine, since an
    // entry of a large system receives notices of few prompts.
    for (std::uint32_t const entries : {1, 86})
    {
        engine_chooser_fixture engines;
        engines.view.entries = entries;
        auto const expected = engines.choose({{1, 20'000}, {9, 100}});
        engines.send(expected, {{4, 15'000}});
        bool const is_kept = engines.choose({{1, 20'000}, {9, 100}}) == expected;
        CHECK(is_kept == (entries == 86));
    }
}
