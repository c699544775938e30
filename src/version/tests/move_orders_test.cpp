#include <catch2/catch.hpp>

#include "service_maps.hpp"

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

constexpr duration resend_time = seconds(4);

/// A control state with one pass-through service, and orders for its moves.
class ordered_state
{
public:
    ordered_state() { this->apply(make_map_command(1, "one")); }

    template <class Body>
    command_result apply(Body body)
    {
        return this->state.apply(++this->index, make_command(std::move(body), this->now));
    }

    /// Returns the order as an entry sends it that knows the newest number.
    start_service_move make_order(char const* to, duration time_limit = seconds(12)) const
    {
        start_service_move order{service_name("s"), version_name(to), time_limit};
        order.base = latest_order(this->moves(), service_name("s"));
        order.resend_time = resend_time;
        return order;
    }

    start_move_outcome commit(start_service_move const& order)
    {
        return std::get<start_move_result>(this->apply(order)).outcome;
    }

    start_move_outcome order(char const* to) { return this->commit(this->make_order(to)); }

    void end_move(move_state outcome)
    {
        this->apply(update_move{service_name("s"), this->latest().generation, 0, outcome, {}, {}});
    }

    std::vector<move_record> const& moves() const { return this->state.shared()->moves; }
    move_record const& latest() const { return this->moves().back(); }

    control_state state;
    wall_time now{seconds(1'000)};

private:
    std::uint64_t index = 0;
};

} // namespace

TEST_CASE("an order for a move that is committed after a newer one has no effect")
{
    // Guards against an order that stalls on its way to the leader and ends the move that was
    // ordered and acknowledged after it.
    ordered_state system;
    auto const late = system.make_order("v2");
    CHECK(system.order("v2") == start_move_outcome::started);
    CHECK(system.order("v3") == start_move_outcome::started);
    CHECK(system.commit(late) == start_move_outcome::outdated);
    CHECK(system.latest().to == version_name("v3"));
    CHECK(system.latest().state == move_state::running);
    CHECK(system.moves().size() == 2);
    // Also after the newer move has ended.
    system.end_move(move_state::finished);
    system.now += seconds(60);
    CHECK(system.commit(late) == start_move_outcome::outdated);
    CHECK(system.order("v2") == start_move_outcome::started);
}

TEST_CASE("an order is outdated by those for its own service only")
{
    // Guards against orders for several services in progress at once that refuse each other.
    ordered_state system;
    auto map = make_map(2);
    map.services.push_back(map.services.front());
    map.services.back().name = service_name("t");
    system.apply(make_apply_command({map, "two"}));
    start_service_move other{service_name("t"), version_name("v2"), seconds(12)};
    other.base = latest_order(system.moves(), service_name("t"));
    CHECK(system.order("v3") == start_move_outcome::started);
    CHECK(system.commit(other) == start_move_outcome::started);
}

TEST_CASE("replicas agree on the number of an order after a restored snapshot")
{
    // Guards against voters that decide differently on a late order.
    ordered_state system;
    system.order("v2");
    auto const late = system.make_order("v4");
    system.order("v3");
    control_state restored;
    restored.restore(system.state.snapshot());
    CHECK(latest_order(restored.shared()->moves, service_name("s")) ==
          latest_order(system.moves(), service_name("s")));
    auto const command = make_command(late, system.now);
    auto const next = system.state.applied_index() + 1;
    CHECK(std::get<start_move_result>(restored.apply(next, command)).outcome ==
          start_move_outcome::outdated);
    CHECK(std::get<start_move_result>(system.state.apply(next, command)).outcome ==
          start_move_outcome::outdated);
    CHECK(restored.snapshot() == system.state.snapshot());
}

TEST_CASE("the base of an order passes through the log unchanged")
{
    // Guards against a base that is lost on the way, so that the order would always have an
    // effect. Commands of earlier releases have none.
    start_service_move order{service_name("s"), version_name("v2"), seconds(12)};
    auto const decoded = [&]
    {
        auto const command = decode_command(encode(make_command(order)));
        return std::get<start_service_move>(command.body).base;
    };
    CHECK_FALSE(decoded());
    order.base = 7;
    CHECK(decoded() == 7U);
}

TEST_CASE("an order that is sent again after its version was reversed starts no other move")
{
    // Guards against a bad version that gets traffic a second time because the acknowledgement of
    // its order was lost.
    ordered_state system;
    CHECK(system.order("v2") == start_move_outcome::started);
    system.now += seconds(2);
    system.end_move(move_state::reversed);
    system.now += seconds(1);
    CHECK(system.order("v2") == start_move_outcome::repeated);
    CHECK(system.moves().size() == 1);
    CHECK(system.latest().state == move_state::reversed);
}

TEST_CASE("a version that was reversed and is ordered again is moved to")
{
    // Guards against an acknowledged order that is taken for a resent one and not carried out.
    ordered_state system;
    CHECK(system.order("v2") == start_move_outcome::started);
    system.now += seconds(3);
    system.end_move(move_state::reversed);
    system.now += seconds(2);
    CHECK(system.order("v2") == start_move_outcome::started);
    CHECK(system.latest().state == move_state::running);
    CHECK(system.latest().figures.empty());
    // The second order may be sent again as well.
    system.now += seconds(3);
    CHECK(system.order("v2") == start_move_outcome::repeated);
    // A restored replica decides the same.
    control_state restored;
    restored.restore(system.state.snapshot());
    CHECK(restored.snapshot() == system.state.snapshot());
}

TEST_CASE("an order is told from a resent one although a clock was set")
{
    // Guards against a leader whose clock was far ahead, after which the time of the log stands
    // still for hours.
    ordered_state system;
    system.now += std::chrono::hours(1);
    CHECK(system.order("v2") == start_move_outcome::started);
    system.end_move(move_state::reversed);
    auto again = system.make_order("v2");
    again.base_age = seconds(3);
    CHECK(system.commit(again) == start_move_outcome::repeated);
    again.base_age = seconds(4);
    CHECK(system.commit(again) == start_move_outcome::started);
}

TEST_CASE("a later order for the version of the running move sets its time limit")
{
    // Guards against an acknowledged order whose move is reversed at the time limit of an earlier
    // one, and against one that starts the comparison of the versions anew.
    ordered_state system;
    CHECK(system.order("v2") == start_move_outcome::started);
    auto const generation = system.latest().generation;
    system.now += seconds(10);
    CHECK(system.commit(system.make_order("v2", seconds(30))) == start_move_outcome::prolonged);
    CHECK(system.moves().size() == 1);
    CHECK(system.latest().generation == generation);
    CHECK(system.latest().finish_by == system.now + seconds(30));
    // An order that was given before it is outdated.
    auto late = system.make_order("v3");
    late.base = *late.base - 1;
    CHECK(system.commit(late) == start_move_outcome::outdated);
}

TEST_CASE("an order with another time limit is a new one at any time")
{
    // Guards against an order that its operator corrects at once and that is taken for the first
    // one, sent again.
    ordered_state system;
    CHECK(system.order("v2") == start_move_outcome::started);
    system.now += seconds(1);
    CHECK(system.commit(system.make_order("v2", seconds(30))) == start_move_outcome::prolonged);
    CHECK(system.commit(system.make_order("v2", seconds(30))) == start_move_outcome::repeated);
    system.end_move(move_state::reversed);
    CHECK(system.commit(system.make_order("v2", seconds(30))) == start_move_outcome::repeated);
    CHECK(system.commit(system.make_order("v2", seconds(20))) == start_move_outcome::started);
}
