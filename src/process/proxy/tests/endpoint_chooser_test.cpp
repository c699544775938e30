#include <catch2/catch.hpp>

#include "endpoint_chooser.hpp"

using namespace lagoonladder;
using namespace lagoonladder::proxy;

namespace
{

time_point const start{seconds(100)};

/// A service of engines with three endpoints, and its route.
class engine_choice
{
public:
    engine_choice()
    {
        version::service_map map;
        version::pass_service service;
        service.name = service_name("model");
        service.is_engine = true;
        map.services = {service};
        this->route.has_prefix_affinity = true;
        this->view.services = std::make_shared<version::service_index const>(std::move(map));
        for (auto const* id : {"e1", "e2", "e3"})
        {
            connection::endpoint_record row;
            row.id = endpoint_id(id);
            row.address = network_address(id);
            row.incarnation = incarnation(1);
            row.load.slots = 64;
            this->view.endpoints[service.name].push_back(row);
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
        this->chooser.prompt_sent(start, endpoint_id(engine), incarnation(1), prompt);
    }

    endpoint_chooser chooser;
    traffic_view view;
    version::pass_route route;
    seeded_random random{7};
};

} // namespace

TEST_CASE("a prompt goes to the engine that keeps its start")
{
    engine_choice engines;
    engines.send("e2", {{1, 20'000}});
    engines.send("e1", {{2, 40'000}});
    engines.send("e3", {{3, 40'000}});
    for (int i = 0; i < 20; ++i)
        CHECK(engines.choose({{1, 20'000}, {9, 100}}) == "e2");
}

TEST_CASE("a prompt goes elsewhere when reading it again is sooner")
{
    // Guards against a hot shared part that queues at one engine while others are idle.
    engine_choice engines;
    engines.send("e2", {{1, 20'000}});
    engines.send("e2", {{4, 200'000}});
    for (int i = 0; i < 20; ++i)
        CHECK(engines.choose({{1, 20'000}, {9, 100}}) != "e2");
}

TEST_CASE("an engine that failed the call is not chosen again")
{
    engine_choice engines;
    engines.send("e2", {{1, 20'000}});
    for (int i = 0; i < 20; ++i)
        CHECK(engines.choose({{1, 20'000}, {9, 100}}, {endpoint_id("e2")}) != "e2");
    CHECK(engines.choose({{1, 1}}, {endpoint_id("e1"), endpoint_id("e2"), endpoint_id("e3")})
              .empty());
}

TEST_CASE("entries of a large system keep to the engine that all expect to have a part")
{
    // Guards against shared parts that each entry has read at another engine since it hears
    // of few prompts.
    for (std::uint32_t const entries : {1, 86})
    {
        engine_choice engines;
        engines.view.entries = entries;
        auto const expected = engines.choose({{1, 20'000}, {9, 100}});
        engines.send(expected, {{4, 15'000}});
        bool const is_kept = engines.choose({{1, 20'000}, {9, 100}}) == expected;
        CHECK(is_kept == (entries == 86));
    }
}
