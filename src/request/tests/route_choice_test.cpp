#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using namespace lagoonladder::request;

namespace
{

time_point at(duration offset)
{
    return time_point{} + std::chrono::hours(1) + offset;
}

std::vector<route_candidate> make_candidates(int count)
{
    std::vector<route_candidate> out;
    for (int i = 0; i < count; ++i)
    {
        route_candidate candidate;
        candidate.endpoint_id = endpoint_id("e" + std::to_string(i));
        candidate.data_centre = data_centre_id("d" + std::to_string(i % 3));
        candidate.slots = 16;
        out.push_back(candidate);
    }
    return out;
}

std::map<std::string, int> choose_many(route_policy& policy, time_point now,
                                       std::vector<route_candidate> const& candidates,
                                       route_query const& query = {}, int count = 1000)
{
    seeded_random random(3);
    std::map<std::string, int> out;
    for (int i = 0; i < count; ++i)
        ++out[policy.choose(now, candidates, query, random)->value()];
    return out;
}

route_query prefix_query(std::uint64_t hash)
{
    return {data_centre_id("d9"), hash, {}};
}

} // namespace

TEST_CASE("leaving and excluded endpoints are never chosen")
{
    // Guards against new work for a leaving endpoint, and against a second attempt at an endpoint
    // that failed.
    rc::prop("the choice is usable or there is none",
             []
             {
                 auto candidates = make_candidates(*rc::gen::inRange(0, 6));
                 route_query query = prefix_query(*rc::gen::inRange<std::uint64_t>(0, 3));
                 bool has_usable = false;
                 for (auto& candidate : candidates)
                 {
                     candidate.leaving = *rc::gen::arbitrary<bool>();
                     candidate.load = *rc::gen::inRange(0, 60);
                     auto const is_excluded = *rc::gen::arbitrary<bool>();
                     if (is_excluded)
                         query.excluded.push_back(candidate.endpoint_id);
                     has_usable = has_usable || (!candidate.leaving && !is_excluded);
                 }
                 balanced_route_policy balanced;
                 round_robin_route_policy round_robin;
                 least_load_route_policy least;
                 seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
                 for (auto* policy :
                      std::initializer_list<route_policy*>{&balanced, &round_robin, &least})
                 {
                     auto const chosen = policy->choose(at({}), candidates, query, random);
                     RC_ASSERT(chosen.has_value() == has_usable);
                     for (auto const& candidate : candidates)
                     {
                         if (candidate.endpoint_id != chosen)
                             continue;
                         RC_ASSERT_FALSE(candidate.leaving);
                         for (auto const& id : query.excluded)
                             RC_ASSERT(id != *chosen);
                     }
                 }
             });
}

TEST_CASE("equal endpoints share the load")
{
    // Guards against all entries choosing the endpoint with the lowest load in an outdated report.
    balanced_route_policy policy;
    auto const counts = choose_many(policy, at({}), make_candidates(9));
    CHECK(counts.size() == 9);
    for (auto const& [id, count] : counts)
        CHECK(count < 200);
}

TEST_CASE("a prefix stays on its endpoints until they are loaded")
{
    // Guards against prompts that are prefilled again, and against a popular prefix that overloads
    // one endpoint.
    balanced_route_policy policy;
    auto candidates = make_candidates(9);
    auto const counts = choose_many(policy, at({}), candidates, prefix_query(77));
    CHECK(counts.size() == 2);
    auto const preferred = counts.begin()->first;
    for (auto& candidate : candidates)
        candidate.load = candidate.endpoint_id.value() == preferred ? 40 : 4;
    CHECK(choose_many(policy, at({}), candidates, prefix_query(77)).count(preferred) == 0);
    for (auto& candidate : candidates)
        candidate.prefix_match = candidate.endpoint_id == endpoint_id("e5") ? 0.9 : 0.0;
    for (auto& candidate : candidates)
        candidate.load = 4;
    CHECK(choose_many(policy, at({}), candidates, prefix_query(77))["e5"] > 900);
}

TEST_CASE("an endpoint that fails is excluded and probed by single requests")
{
    // Guards against an endpoint that fails fast, therefore looks idle and attracts all requests.
    balanced_route_policy policy;
    auto const candidates = make_candidates(3);
    auto const failing = endpoint_id("e1");
    choose_many(policy, at({}), candidates);
    for (int i = 0; i < 3; ++i)
        policy.record(at({}), failing, {false, {}, milliseconds(1), 0});
    CHECK(policy.is_excluded(at({}), failing));
    CHECK(choose_many(policy, at(milliseconds(500)), candidates).count("e1") == 0);
    CHECK(choose_many(policy, at(milliseconds(1001)), candidates)["e1"] == 1);
    policy.record(at(milliseconds(1100)), failing, {false, {}, milliseconds(1), 0});
    CHECK(choose_many(policy, at(milliseconds(3000)), candidates).count("e1") == 0);
    CHECK(choose_many(policy, at(milliseconds(3200)), candidates)["e1"] == 1);
    policy.record(at(milliseconds(3300)), failing, {true, {}, seconds(1), 10});
    auto const recovering = choose_many(policy, at(milliseconds(3400)), candidates)["e1"];
    CHECK(recovering > 0);
    CHECK(recovering < 150);
    CHECK(choose_many(policy, at(seconds(14)), candidates)["e1"] > 250);
}

TEST_CASE("failing endpoints are used when there is no other")
{
    // Guards against refusing all requests after a short failure of all endpoints.
    balanced_route_policy policy;
    auto const candidates = make_candidates(2);
    choose_many(policy, at({}), candidates);
    for (auto const& candidate : candidates)
    {
        for (int i = 0; i < 3; ++i)
            policy.record(at({}), candidate.endpoint_id, {false, {}, {}, 0});
    }
    CHECK(choose_many(policy, at({}), candidates).size() == 2);
}

TEST_CASE("a new endpoint gets its share gradually")
{
    // Guards against a burst to a new endpoint with cold caches because it looks idle.
    balanced_route_policy policy;
    choose_many(policy, at({}), make_candidates(8));
    for (int second = 1; second <= 20; ++second)
        choose_many(policy, at(seconds(second)), make_candidates(8), {}, 1);
    auto const early = choose_many(policy, at(seconds(21)), make_candidates(9))["e8"];
    CHECK(early < 40);
    for (int second = 22; second <= 32; ++second)
        choose_many(policy, at(seconds(second)), make_candidates(9), {}, 1);
    CHECK(choose_many(policy, at(seconds(32)), make_candidates(9))["e8"] > 70);
}

TEST_CASE("a slow endpoint gets less traffic")
{
    // Guards against an endpoint that reports little load because it is slow.
    balanced_route_policy policy;
    auto const candidates = make_candidates(9);
    choose_many(policy, at({}), candidates);
    for (auto const& candidate : candidates)
    {
        auto const time = candidate.endpoint_id == endpoint_id("e4") ? seconds(8) : seconds(2);
        for (int i = 0; i < 10; ++i)
            policy.record(at({}), candidate.endpoint_id, {true, milliseconds(100), time, 50});
    }
    auto busy = candidates;
    for (auto& candidate : busy)
        candidate.load = 8;
    CHECK(choose_many(policy, at({}), busy)["e4"] < 30);
}

TEST_CASE("an estimate counts own requests that a report cannot show yet")
{
    // Guards against a late report after which all new requests go to one endpoint.
    load_estimate estimate;
    auto const id = endpoint_id("e1");
    estimate.report(at({}), id, 1, 4, 0);
    CHECK(estimate.estimate(at({}), id) == Approx(4).epsilon(0.01));
    for (int i = 0; i < 3; ++i)
        estimate.dispatched(at(milliseconds(100)), id);
    CHECK(estimate.estimate(at(milliseconds(100)), id) == Approx(7).epsilon(0.01));
    // This report was measured before the three requests were sent, and arrived after.
    estimate.report(at(milliseconds(400)), id, 2, 4, 0);
    CHECK(estimate.estimate(at(milliseconds(400)), id) == Approx(7).epsilon(0.01));
    estimate.report(at(milliseconds(900)), id, 3, 5, 2);
    CHECK(estimate.estimate(at(milliseconds(900)), id) == Approx(7).epsilon(0.01));
    estimate.report(at(milliseconds(950)), id, 2, 90, 0);
    CHECK(estimate.estimate(at(milliseconds(950)), id) == Approx(7).epsilon(0.01));
    estimate.completed(at(seconds(1)), id);
    CHECK(estimate.estimate(at(seconds(1)), id) == Approx(6).epsilon(0.01));
}

TEST_CASE("an old report decays towards the mean over all endpoints")
{
    // Guards against an extreme report that was never followed by another one.
    load_estimate estimate;
    estimate.report(at({}), endpoint_id("e1"), 1, 0, 0);
    estimate.report(at({}), endpoint_id("e2"), 1, 20, 0);
    CHECK(estimate.estimate(at(seconds(60)), endpoint_id("e1")) == Approx(10).epsilon(0.01));
    CHECK(estimate.estimate(at(seconds(60)), endpoint_id("e2")) == Approx(10).epsilon(0.01));
    CHECK(estimate.estimate(at(seconds(60)), endpoint_id("e3")) == Approx(10).epsilon(0.01));
    estimate.remove(endpoint_id("e2"));
    CHECK(estimate.estimate(at(seconds(60)), endpoint_id("e1")) == Approx(0).margin(0.01));
    estimate.dispatched(at(seconds(60)), endpoint_id("e3"));
    estimate.expire(at(seconds(200)));
    CHECK(estimate.own_attempts(endpoint_id("e3")) == 1);
}

TEST_CASE("a gap in the cache events drops the blocks of the endpoint")
{
    // Guards against prompts that are sent to an endpoint which has evicted their prefix.
    prefix_index index;
    auto const id = endpoint_id("e1");
    auto const blocks = prefix_blocks(std::string(1024, 'x'));
    REQUIRE(blocks.size() == 4);
    using enum cache_event_result;
    CHECK(index.apply(at({}), id, {1, cache_change::stored, blocks}) == applied);
    CHECK(index.match(at({}), id, blocks) == 1);
    CHECK(index.apply(at({}), id, {1, cache_change::cleared, {}}) == duplicate);
    CHECK(index.apply(at({}), id, {2, cache_change::removed, {blocks[2]}}) == applied);
    CHECK(index.match(at({}), id, blocks) == 0.5);
    CHECK(index.apply(at({}), id, {4, cache_change::stored, {blocks[1]}}) == gap);
    CHECK(index.match(at({}), id, blocks) == 0);
    index.routed(at({}), id, blocks);
    CHECK(index.match(at({}), id, blocks) == 1);
    CHECK(index.match(at(std::chrono::minutes(10)), id, blocks) == 0);
}

TEST_CASE("the prefix index is bounded and keeps the first blocks longest")
{
    // Guards against memory that grows with the number of prompts.
    prefix_index index({4, 2, std::chrono::minutes(10)});
    auto const long_prompt = prefix_blocks(std::string(256 * 6, 'y'));
    for (int i = 0; i < 5; ++i)
        index.routed(at(seconds(i)), endpoint_id("e" + std::to_string(i)), long_prompt);
    CHECK(index.size() == 8);
    CHECK(index.match(at(seconds(5)), endpoint_id("e4"), long_prompt) == Approx(4.0 / 6));
    CHECK(prefix_blocks(std::string(255, 'y')).empty());
}

TEST_CASE("an unreachable endpoint is excluded at once")
{
    // Guards against requests that each wait for a connection to an unreachable endpoint.
    balanced_route_policy policy;
    seeded_random random(3);
    std::vector<route_candidate> candidates(2);
    candidates[0].endpoint_id = endpoint_id("unreachable");
    candidates[1].endpoint_id = endpoint_id("reachable");
    auto const now = time_point(seconds(100));
    policy.choose(now, candidates, {}, random);
    route_outcome outcome;
    outcome.ok = false;
    policy.record(now, endpoint_id("reachable"), outcome);
    CHECK_FALSE(policy.is_excluded(now, endpoint_id("reachable")));
    outcome.unreachable = true;
    policy.record(now, endpoint_id("unreachable"), outcome);
    CHECK(policy.is_excluded(now, endpoint_id("unreachable")));
}
