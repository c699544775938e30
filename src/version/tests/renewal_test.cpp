#include <catch2/catch.hpp>

#include "service_maps.hpp"

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

service_name const service("s");

/// A control state with one pass-through service that runs v1 without ever having been moved.
class unmoved_service
{
public:
    unmoved_service() { this->apply(make_map_command(1, "one")); }

    command_result apply(command_body body)
    {
        return this->state.apply(++this->index, make_command(std::move(body), this->now));
    }

    start_move_outcome order(char const* to, char const* in_service = "v1")
    {
        this->now += seconds(10);
        start_service_move order{service, version_name(to), seconds(12)};
        order.base = latest_order(this->state.shared()->moves, service);
        order.resend_time = seconds(4);
        order.in_service = version_name(in_service);
        return std::get<start_move_result>(this->apply(order)).outcome;
    }

    void finish() { this->end(move_state::finished, 1); }
    void reverse() { this->end(move_state::reversed, 0); }

    move_record latest() const { return this->state.shared()->moves.back(); }
    traffic_split split() const { return this->state.shared()->splits.at(service); }

    control_state state;
    wall_time now{seconds(1'000)};

private:
    void end(move_state outcome, double share)
    {
        update_move change;
        change.service = service;
        change.generation = this->latest().generation;
        change.state = outcome;
        change.share = share;
        this->apply(change);
    }

    std::uint64_t index = 0;
};

move_record make_renewal()
{
    move_record record;
    record.service = service;
    record.from = record.to = version_name("v1");
    record.started = wall_time(seconds(100));
    record.finish_by = wall_time(seconds(112));
    return record;
}

std::optional<move_state> decision(int second, renewal_endpoints const& endpoints)
{
    auto const change = decide_renewal(wall_time(seconds(second)), make_renewal(), endpoints);
    return change ? std::optional(change->state) : std::nullopt;
}

} // namespace

TEST_CASE("an order for the version in service gives no version a share")
{
    // Guards against an order back to the version in service after which most calls are refused,
    // since all endpoints count as those of a candidate.
    unmoved_service system;
    CHECK(system.order("v2") == start_move_outcome::started);
    CHECK(system.split().candidate == version_name("v2"));
    CHECK(system.order("v1") == start_move_outcome::started);
    CHECK(system.state.shared()->moves.front().state == move_state::reversed);
    CHECK_FALSE(system.state.shared()->moves.front().is_shown_worse);
    CHECK(is_renewal(system.latest()));
    CHECK(system.latest().state == move_state::running);
    CHECK(system.split().candidate.value().empty());
    CHECK(system.split().candidate_share == 0);
    system.finish();
    CHECK(system.latest().state == move_state::finished);
    CHECK(system.split().stable == version_name("v1"));
    // Back and forth: the version that was given up is a candidate again.
    CHECK(system.order("v2") == start_move_outcome::started);
    CHECK_FALSE(is_renewal(system.latest()));
    CHECK(system.split().stable == version_name("v1"));
    CHECK(system.split().candidate == version_name("v2"));
    CHECK(system.split().candidate_share == 0);
    system.finish();
    CHECK(system.order("v2", "") == start_move_outcome::started);
    CHECK(is_renewal(system.latest()));
    system.reverse();
    CHECK(system.split().stable == version_name("v2"));
}

TEST_CASE("an order for another version ends a renewal")
{
    // Guards against a renewal that keeps a later move from its share.
    unmoved_service system;
    CHECK(system.order("v1") == start_move_outcome::started);
    CHECK(system.order("v2") == start_move_outcome::started);
    CHECK(system.state.shared()->moves.front().state == move_state::reversed);
    CHECK(system.split().candidate == version_name("v2"));
    control_state restored;
    restored.restore(system.state.snapshot());
    CHECK(restored.snapshot() == system.state.snapshot());
}

TEST_CASE("a renewal finishes when as many endpoints have started as ran before")
{
    // Guards against a service that is left without endpoints: those from before the order stop
    // when the renewal has finished, those from after it leave when it is reversed.
    CHECK_FALSE(decision(101, {4, 0}));
    CHECK_FALSE(decision(105, {4, 3}));
    CHECK(decision(105, {4, 4}) == move_state::finished);
    CHECK(decision(111, {4, 3}) == move_state::reversed);
    CHECK(decision(111, {4, 0}) == move_state::reversed);
    CHECK(decision(111, {0, 0}) == move_state::reversed);
    // The clock of the leader may be behind that of the endpoints.
    CHECK_FALSE(decision(105, {0, 4}));
    CHECK(decision(111, {0, 4}) == move_state::finished);
}

TEST_CASE("a move to the version in service that an earlier release started is ended")
{
    // Guards against voters that stop, or disagree, on the log of an earlier release: it made the
    // version in service a candidate.
    unmoved_service system;
    system.order("v2");
    system.finish();
    system.now += seconds(60);
    system.apply(start_service_move{service, version_name("v2"), seconds(12)});
    CHECK(system.split().candidate == version_name("v2"));
    CHECK(system.order("v3") == start_move_outcome::started);
    CHECK(system.split().stable == version_name("v2"));
    CHECK(system.split().candidate == version_name("v3"));
}
