#include <catch2/catch.hpp>

#include "pending_loan.hpp"

using namespace lagoonladder;
using daemon::pending_loan;

TEST_CASE("a loan that nobody waits for is not completed")
{
    // Guards against tokens that are taken for a borrower which no longer expects them.
    pending_loan loan;
    CHECK_FALSE(loan.is_abandoned());
    CHECK_FALSE(loan.wait(milliseconds(1)).has_value());
    CHECK(loan.is_abandoned());
    CHECK_FALSE(loan.complete({100, true}));

    pending_loan answered;
    CHECK(answered.complete({100, true}));
    auto const reply = answered.wait(milliseconds(1));
    REQUIRE(reply);
    CHECK(reply->lent == 100);
    CHECK_FALSE(answered.is_abandoned());
}
