#include <catch2/catch.hpp>

#include "proxy_fixture.hpp"

using namespace lagoonladder;

namespace
{

constexpr std::uint64_t deadly = 2;

/// Endpoints of the service "stream-once" that end when they answer the deadly part.
std::vector<fake_endpoint*> add_engines(proxy_fixture& system, std::size_t count)
{
    std::vector<fake_endpoint*> engines;
    for (std::size_t i = 0; i < count; ++i)
    {
        engines.push_back(&system.add_endpoint("stream-once", "e" + std::to_string(i)));
        engines.back()->deadly_part = deadly;
        engines.back()->answer_delay = std::chrono::milliseconds(60);
    }
    return engines;
}

std::size_t request_count(std::vector<fake_endpoint*> const& engines)
{
    std::size_t count = 0;
    for (auto const* engine : engines)
        count += engine->requests.size();
    return count;
}

request::crash_evidence crash_elsewhere(time_point now, char const* reporter, int ended_ms_ago)
{
    auto const ended_at = now - milliseconds(ended_ms_ago);
    return {{vm_id(reporter), 1, endpoint_id(reporter), ended_at - milliseconds(50), ended_at}, 1};
}

} // namespace

TEST_CASE("calls whose prompt crashes engines are refused after a few crashes")
{
    // Guards against requests of one kind that crash one engine after another.
    proxy_fixture system;
    auto const engines = add_engines(system, 8);
    CHECK(system.call_with_prompt("/stream-once/x", "sound-1", "1,3,51").status() == 200);
    auto const sound_requests = request_count(engines);
    unsigned last_status = 0;
    for (int i = 0; i < 12; ++i)
    {
        auto const answer = system.call_with_prompt("/stream-once/x", "deadly-" + std::to_string(i),
                                                    "1,2," + std::to_string(60 + i));
        last_status = answer.status();
        CHECK((last_status == 502 || last_status == 400));
        if (last_status == 400)
            CHECK(answer.body.find("does not help") != std::string::npos);
    }
    CHECK(last_status == 400);
    // One entry that is on its own needs five crashes.
    CHECK(request_count(engines) - sound_requests == 5);
    CHECK(system.call_with_prompt("/stream-once/x", "sound-2", "1,3,52").status() == 200);
}

TEST_CASE("crashes that other entries report count, and those of this entry are reported")
{
    // Guards against many entries of which each one lets the same prompt crash several engines.
    proxy_fixture system;
    auto const engines = add_engines(system, 4);
    system.call_with_prompt("/stream-once/x", "sound-1", "1,3,51");
    auto const now = system.time.now();
    for (auto const& crash : {crash_elsewhere(now, "b", 900), crash_elsewhere(now, "c", 500)})
        system.proxy.on_crash_evidence({{deadly, {crash}, std::nullopt}});
    auto const before = request_count(engines);
    CHECK(system.call_with_prompt("/stream-once/x", "deadly-1", "1,2,60").status() == 502);
    REQUIRE(system.control.sent_evidence.size() == 1);
    CHECK(system.control.sent_evidence[0].part == deadly);
    CHECK(system.control.sent_evidence[0].crashes.size() == 1);
    CHECK(system.call_with_prompt("/stream-once/x", "deadly-2", "1,2,61").status() == 400);
    CHECK(request_count(engines) == before + 1);
}

TEST_CASE("a complete answer to a suspected prompt is reported to the other entries")
{
    // Guards against a sound part that stays refused elsewhere.
    proxy_fixture system;
    system.add_endpoint("stream-once", "e1");
    auto const now = system.time.now();
    system.proxy.on_crash_evidence({{deadly, {crash_elsewhere(now, "b", 900)}, std::nullopt}});
    CHECK(system.call_with_prompt("/stream-once/x", "sound-1", "1,2,51").status() == 200);
    REQUIRE(system.control.sent_evidence.size() == 1);
    CHECK(system.control.sent_evidence[0].part == deadly);
    CHECK(system.control.sent_evidence[0].answered_at);
}

TEST_CASE("evidence on suspected parts is repeated")
{
    // Guards against an entry that started after the crashes and never learns of them.
    proxy_fixture system;
    auto const now = system.time.now();
    system.proxy.on_crash_evidence({{deadly, {crash_elsewhere(now, "b", 900)}, std::nullopt}});
    system.proxy.tick();
    CHECK(system.control.sent_evidence.size() == 1);
}
