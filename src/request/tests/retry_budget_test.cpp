#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using namespace lagoonladder::request;

namespace
{

retry_query idempotent_query()
{
    return {1, time_point{} + seconds(30), true, true, {}};
}

} // namespace

TEST_CASE("an outage does not multiply the load")
{
    // Guards against a retry storm: each first attempt fails and requests three retries.
    retry_budget budget;
    seeded_random random(1);
    int retries = 0;
    int const requests = 10000;
    for (int i = 0; i < requests; ++i)
    {
        budget.first_attempt();
        for (int attempt = 0; attempt < 3; ++attempt)
            retries += budget.retry({}, idempotent_query(), random).delay ? 1 : 0;
    }
    CHECK(retries <= requests / 10 + 10);
    CHECK(retries >= requests / 10 - 10);
    CHECK(budget.retry({}, idempotent_query(), random).refusal == retry_refusal::budget_exhausted);
}

TEST_CASE("dispatched work that is not idempotent is never sent again")
{
    // Guards against a booking that is made twice.
    rc::prop("no delay is given",
             [](std::uint32_t attempts, std::uint64_t seed)
             {
                 retry_budget budget;
                 seeded_random random(seed);
                 retry_query query = idempotent_query();
                 query.attempts = attempts;
                 query.idempotent = false;
                 RC_ASSERT(budget.retry({}, query, random).refusal ==
                           retry_refusal::not_idempotent);
                 query.dispatched = false;
                 RC_ASSERT(budget.retry({}, query, random).delay.has_value());
             });
}

TEST_CASE("a retry neither passes the deadline nor waits longer than its bound")
{
    // Guards against a response that arrives after the caller disconnected.
    rc::prop("delay is within deadline and bound",
             [](std::uint64_t seed)
             {
                 retry_budget budget;
                 seeded_random random(seed);
                 auto query = idempotent_query();
                 query.attempts = *rc::gen::inRange(1U, 40U);
                 query.deadline = time_point{} + milliseconds(*rc::gen::inRange(0, 2000));
                 query.expected_time = milliseconds(*rc::gen::inRange(0, 500));
                 auto const decision = budget.retry({}, query, random);
                 if (!decision.delay)
                 {
                     RC_ASSERT(decision.refusal == retry_refusal::deadline);
                     RC_ASSERT(budget.tokens() == 10);
                     return;
                 }
                 RC_ASSERT(time_point{} + *decision.delay + query.expected_time < query.deadline);
                 RC_ASSERT(*decision.delay <= seconds(1));
             });
}
