#include <catch2/catch.hpp>

#include "once_simulation.hpp"

using namespace lagoonladder;
using namespace lagoonladder::version;

TEST_CASE("non-idempotent work runs at most once over a faulty network")
{
    // Guards against double execution, and against "not executed" for work that ran
    // or still runs, under resends, dead entries and reordered proposals.
    once_simulation::outcome total;
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        auto const one = once_simulation(seed).run(120);
        INFO("seed " << seed);
        REQUIRE(one.executed_twice == 0);
        REQUIRE(one.refused_after_execution == 0);
        REQUIRE(one.executed_after_refusal == 0);
        REQUIRE(one.wrong_answers == 0);
        total.executed += one.executed;
        total.answered += one.answered;
        total.refused += one.refused;
    }
    // Guards against a run that proves nothing because nothing happens in it.
    CHECK(total.executed > 5000);
    CHECK(total.answered > 5000);
    CHECK(total.refused > 1000);
}
