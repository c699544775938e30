#include <catch2/catch.hpp>

#include "exposure_budget.hpp"
#include "non_inferiority_test.hpp"

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

version_counts make_counts(double requests, double failures, milliseconds latency)
{
    version_counts counts;
    counts.requests = requests;
    counts.failures = failures;
    for (int i = 0; i < static_cast<int>(requests); ++i)
        counts.latency(move_metric::whole_call).add(latency);
    return counts;
}

} // namespace

TEST_CASE("calls of a good version are evidence for it and calls of a bad one against it")
{
    // Guards against a lack of evidence that counts as a good version.
    auto const reference = make_counts(100, 2, milliseconds(100));
    CHECK(failure_evidence(make_counts(20, 0, milliseconds(100)), reference, 0.3).weaker() > 3);
    CHECK(failure_evidence(make_counts(20, 10, milliseconds(100)), reference, 0.3).weaker() < -3);
    CHECK(failure_evidence({}, reference, 0.3).weaker() == 0);
    auto const latency = [&](milliseconds value)
    {
        return latency_evidence(make_counts(20, 0, value), reference, move_metric::whole_call, 2.5)
            .weaker();
    };
    CHECK(latency(milliseconds(100)) > 3);
    CHECK(latency(milliseconds(400)) < -3);
}

TEST_CASE("a version that is slow in half of its calls is not shown as good")
{
    // Guards against the fast half of the calls that hides the slow one.
    auto const reference = make_counts(100, 2, milliseconds(100));
    auto candidate = make_counts(10, 0, milliseconds(100));
    candidate.add(make_counts(10, 0, milliseconds(600)));
    CHECK(latency_evidence(candidate, reference, move_metric::whole_call, 2.5).some_calls < 0);
}

TEST_CASE("a route on which every version fails says nothing about a version")
{
    // Guards against a move that is reversed because of a route that tests timeouts.
    auto const reference = make_counts(50, 50, milliseconds(500));
    CHECK(failure_evidence(make_counts(10, 10, milliseconds(500)), reference, 0.3).weaker() == 0);
}

TEST_CASE("few calls of the old version are no reference")
{
    // Guards against a comparison with rates that are known by chance only.
    auto const reference = make_counts(5, 0, milliseconds(100));
    auto const candidate = make_counts(20, 0, milliseconds(100));
    CHECK(failure_evidence(candidate, reference, 0.3).weaker() == 0);
    CHECK(latency_evidence(candidate, reference, move_metric::whole_call, 2.5).weaker() == 0);
}

TEST_CASE("a version that turns bad fails the test within a few calls")
{
    // Guards against a good start that outweighs the calls of a version that has turned bad.
    auto const reference = make_counts(100, 2, milliseconds(100));
    non_inferiority_test test(2.5);
    for (int second = 0; second < 60; ++second)
        test.add(failure_evidence(make_counts(10, 0, milliseconds(100)), reference, 0.3));
    REQUIRE(test.is_passed());
    test.add(failure_evidence(make_counts(6, 3, milliseconds(100)), reference, 0.3));
    CHECK_FALSE(test.is_passed());
}

TEST_CASE("a slowdown of a few milliseconds is not noticeable")
{
    // Guards against a comparison of calls whose duration depends on the distance of the endpoint.
    auto const is_noticeable = [](milliseconds latency)
    { return is_slowdown_noticeable(make_counts(50, 0, latency), move_metric::whole_call, 2.5); };
    CHECK_FALSE(is_noticeable(milliseconds(2)));
    CHECK(is_noticeable(milliseconds(60)));
}

TEST_CASE("the largest share keeps within the budget and grows with the part that is left")
{
    // Guards against a share that uses more requests than allowed until the end of the move.
    exposure_budget const budget({0.1, 50, true});
    CHECK(budget.limit_so_far({0, 400}) == Approx(90));
    // 30/s for 15 s: 95 of 450 requests.
    CHECK(budget.max_share({0, 0}, 30, seconds(15), 1) == Approx(95.0 / 450));
    CHECK(budget.max_share({0, 0}, 30, seconds(15), 0.5) == Approx(47.5 / 450));
    CHECK(budget.max_share({20, 300}, 30, seconds(5), 1) == Approx(75.0 / 150));
    CHECK(budget.max_share({95, 300}, 30, seconds(5), 1) == 0);
    CHECK(budget.max_share({0, 0}, 1, seconds(15), 1) == 1);
    CHECK(budget.max_share({0, 0}, 0, seconds(15), 1) == 1);
}
