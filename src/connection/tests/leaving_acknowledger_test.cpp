#include <catch2/catch.hpp>

#include <lagoonladder/connection.hpp>

using namespace lagoonladder;
using connection::leaving_acknowledger;

namespace
{

endpoint_id const endpoint("e-1");
incarnation const first_start(1);
constexpr time_point start{};

/// Result of one wait; no value while it lasts.
struct recorded_result
{
    leaving_acknowledger::handler handler()
    {
        return [this](bool is_acknowledged)
        {
            CHECK_FALSE(this->value);
            this->value = is_acknowledged;
        };
    }

    std::optional<bool> value;
};

} // namespace

TEST_CASE("leaving is acknowledged once two other entries hold the mark")
{
    // Guards against an acknowledged deregistration that is lost with the entry that acknowledged
    // it, alone or together with one more.
    leaving_acknowledger acknowledger;
    acknowledger.add(start, endpoint, first_start);
    recorded_result result;
    acknowledger.wait(start, endpoint, 10, result.handler());
    CHECK_FALSE(result.value);
    acknowledger.record_holder(endpoint, vm_id("vm-1"));
    acknowledger.record_holder(endpoint, vm_id("vm-1"));
    CHECK_FALSE(result.value);
    acknowledger.record_holder(endpoint, vm_id("vm-2"));
    CHECK(result.value == true);
    recorded_result repeated;
    acknowledger.wait(start, endpoint, 10, repeated.handler());
    CHECK(repeated.value == true);
}

TEST_CASE("an overloaded or lost neighbour does not refuse the leaving of an endpoint")
{
    // Guards against a deregistration that is refused although another entry holds the mark, and
    // against an acknowledgement that comes later than the endpoint waits.
    leaving_acknowledger acknowledger;
    acknowledger.add(start, endpoint, first_start);
    recorded_result with_one_holder;
    acknowledger.wait(start, endpoint, 10, with_one_holder.handler());
    acknowledger.record_holder(endpoint, vm_id("vm-1"));
    auto const deadline = acknowledger.next_deadline();
    REQUIRE(deadline);
    CHECK(*deadline < start + seconds(1));
    acknowledger.expire(*deadline);
    CHECK(with_one_holder.value == true);
    CHECK_FALSE(acknowledger.next_deadline());
}

TEST_CASE("leaving that no other entry has received is refused in time")
{
    // Guards against an acknowledgement by an entry that is cut off from all others; another entry
    // can take the report of the endpoint.
    leaving_acknowledger acknowledger;
    acknowledger.add(start, endpoint, first_start);
    recorded_result result;
    acknowledger.wait(start, endpoint, 10, result.handler());
    acknowledger.expire(start + seconds(1));
    CHECK(result.value == false);
    recorded_result in_small_system;
    acknowledger.wait(start, endpoint, 1, in_small_system.handler());
    acknowledger.record_holder(endpoint, vm_id("vm-1"));
    CHECK(in_small_system.value == true);
}

TEST_CASE("the mark of an earlier incarnation does not acknowledge the leaving of a later one")
{
    // Guards against an endpoint that has started again and whose leaving is acknowledged because
    // other entries hold the mark of its earlier run.
    leaving_acknowledger acknowledger;
    acknowledger.add(start, endpoint, first_start);
    acknowledger.record_holder(endpoint, vm_id("vm-1"));
    acknowledger.record_holder(endpoint, vm_id("vm-2"));
    CHECK(acknowledger.contains(endpoint, first_start));
    CHECK_FALSE(acknowledger.contains(endpoint, incarnation(2)));
    acknowledger.add(start, endpoint, incarnation(2));
    recorded_result result;
    acknowledger.wait(start, endpoint, 10, result.handler());
    CHECK_FALSE(result.value);
}

TEST_CASE("old marks are dropped")
{
    // Guards against memory that grows with each endpoint that ever left.
    leaving_acknowledger acknowledger;
    acknowledger.add(start, endpoint, first_start);
    acknowledger.expire(start + seconds(60));
    CHECK(acknowledger.contains(endpoint, first_start));
    acknowledger.expire(start + seconds(300));
    CHECK_FALSE(acknowledger.contains(endpoint, first_start));
}
