#include <catch2/catch.hpp>

#include "at_most_once_simulation.hpp"

using namespace lagoonladder;
using namespace lagoonladder::version;

TEST_CASE("non-idempotent work runs at most once over a faulty network")
{
    // Guards against executing work twice, and against reporting work as not executed although it
    // was executed or is still running, when requests are resent, entries crash and proposals are
    // reordered.
    at_most_once_simulation::outcome total;
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        auto const outcome = at_most_once_simulation(seed).run(120);
        INFO("seed " << seed);
        REQUIRE(outcome.executed_twice == 0);
        REQUIRE(outcome.refused_after_execution == 0);
        REQUIRE(outcome.executed_after_refusal == 0);
        REQUIRE(outcome.wrong_answers == 0);
        total.executed += outcome.executed;
        total.answered += outcome.answered;
        total.refused += outcome.refused;
    }
    // Guards against a simulation in which too little happens to find a fault.
    CHECK(total.executed > 5000);
    CHECK(total.answered > 5000);
    CHECK(total.refused > 1000);
}
