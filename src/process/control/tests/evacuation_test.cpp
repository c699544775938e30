#include <future>

#include <catch2/catch.hpp>
#include <lagoonladder/control/data_centres.hpp>

#include "control_fixture.hpp"
#include "evacuation_follower.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

data_centre_id const hobart("hob-a");
/// Time in which an order has to be in force at the other entries.
constexpr std::chrono::seconds effect_limit{5};

version::set_evacuation make_order(bool is_evacuated)
{
    return {hobart, is_evacuated};
}

bool is_evacuated(control_thread& loop)
{
    return loop.view()->ready && loop.traffic()->evacuated.contains(hobart);
}

/// Sends the order again until it is committed, as operators do.
bool order_until_committed(control_thread& loop, bool is_evacuated)
{
    return eventually(
        [&]
        {
            auto const outcome =
                propose_and_wait(loop, make_order(is_evacuated), milliseconds(900));
            auto const* result = std::get_if<version::evacuation_result>(&outcome.result);
            return outcome.status == proposal_status::committed && result != nullptr &&
                   !result->is_outdated;
        });
}

bool is_evacuated_at(small_system& system, std::initializer_list<std::size_t> entries)
{
    return std::all_of(
        entries.begin(), entries.end(),
        [&](std::size_t i)
        { return eventually([&] { return is_evacuated(system.loop(i)); }, effect_limit); });
}

/// Sends an order that stalls at the leader past its time limit. Returns the command.
version::set_evacuation send_stalled_order(small_system& system, std::size_t entry,
                                           bool is_evacuated)
{
    for (std::size_t i = 0; i < 3; ++i)
        system.calls(i).stalls_orders = true;
    auto const status =
        propose_and_wait(system.loop(entry), make_order(is_evacuated), milliseconds(900)).status;
    CHECK(status != proposal_status::committed);
    std::vector<version::set_evacuation> stalled;
    for (std::size_t i = 0; i < 3; ++i)
    {
        system.calls(i).stalls_orders = false;
        auto const orders = system.calls(i).stalled();
        stalled.insert(stalled.end(), orders.begin(), orders.end());
    }
    REQUIRE_FALSE(stalled.empty());
    return stalled.front();
}

version::shared_status make_status(std::uint64_t index, bool has_evacuation)
{
    version::shared_status status;
    status.applied_index = index;
    if (has_evacuation)
        status.evacuations[hobart] = {};
    return status;
}

} // namespace

TEST_CASE("an evacuation is in force everywhere although the leader dies before it acknowledges")
{
    // Guards against an order that is lost with the leader, or that fails when it is sent again.
    small_system system;
    REQUIRE(eventually([&] { return system.loop(3).view()->ready && system.leader(3) < 3; }));
    auto const leader = system.leader(3);
    auto pending =
        std::async(std::launch::async,
                   [&] { return propose_and_wait(system.loop(3), make_order(true), seconds(1)); });
    system.stop(leader);
    pending.get();
    CHECK(order_until_committed(system.loop(3), true));
    CHECK(is_evacuated_at(system, {(leader + 1) % 3, (leader + 2) % 3, 3}));
}

TEST_CASE("an acknowledged evacuation survives the entry that acknowledged it")
{
    // Guards against an acknowledgement before a quorum has the order.
    small_system system;
    commit_and_wait(system.loop(0), make_order(true), seconds(10));
    system.stop(0);
    CHECK(is_evacuated_at(system, {1, 2, 3}));
}

TEST_CASE("entries without a quorum keep an evacuation and confirm no order")
{
    // Guards against a partition that lets traffic back into an evacuated data centre, and against
    // an end that is acknowledged on the wrong side of it.
    small_system system;
    commit_and_wait(system.loop(3), make_order(true), seconds(10));
    REQUIRE(is_evacuated_at(system, {0, 1, 2, 3}));
    system.stop(0);
    system.stop(1);
    REQUIRE(eventually([&] { return !system.loop(3).view()->quorum_recent; }));
    CHECK(propose_and_wait(system.loop(3), make_order(false), milliseconds(900)).status !=
          proposal_status::committed);
    CHECK(is_evacuated(system.loop(2)));
    CHECK(is_evacuated(system.loop(3)));
    system.start(0);
    system.start(1);
    CHECK(order_until_committed(system.loop(3), false));
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(eventually([&]
                         { return system.loop(i).view()->ready && !is_evacuated(system.loop(i)); },
                         effect_limit));
}

TEST_CASE("an evacuation survives a restart of all with one disk lost")
{
    // Guards against requests to an evacuated data centre after a loss of power.
    small_system system;
    commit_and_wait(system.loop(3), make_order(true), seconds(10));
    REQUIRE(is_evacuated_at(system, {0, 1, 2, 3}));
    for (std::size_t i = 0; i < 4; ++i)
        system.stop(i);
    system.lose_disk(1);
    for (std::size_t i = 0; i < 4; ++i)
        system.start(i);
    for (std::size_t i = 0; i < 4; ++i)
    {
        // No daemon may serve without the evacuation, not even at first.
        CHECK(eventually([&] { return system.loop(i).view()->ready; }));
        CHECK(is_evacuated(system.loop(i)));
    }
}

TEST_CASE("a start that stalls at the leader has no effect after an acknowledged end")
{
    // Guards against a data centre that is evacuated although the operator ended the evacuation,
    // after a restart of all as well.
    small_system system;
    REQUIRE(eventually([&] { return system.loop(3).view()->ready && system.leader(3) < 3; }));
    bool const is_restarted = GENERATE(false, true);
    auto const stalled = send_stalled_order(system, 3, true);
    REQUIRE(order_until_committed(system.loop(3), false));
    for (std::size_t i = 0; is_restarted && i < 4; ++i)
        system.stop(i);
    for (std::size_t i = 0; is_restarted && i < 4; ++i)
        system.start(i);
    commit_and_wait(system.loop(0), stalled, seconds(10));
    // An entry that has the later order has applied the stalled one.
    data_centre_id const sydney("syd-a");
    commit_and_wait(system.loop(0), version::set_evacuation{sydney, true}, seconds(10));
    for (std::size_t i = 0; i < 4; ++i)
    {
        CHECK(eventually([&] { return system.loop(i).traffic()->evacuated.contains(sydney); }));
        CHECK_FALSE(is_evacuated(system.loop(i)));
    }
    CHECK(order_until_committed(system.loop(3), true));
    CHECK(is_evacuated_at(system, {0, 1, 2, 3}));
}

TEST_CASE("an entry with an old view gives an order at its second attempt")
{
    // Guards against an order that is refused until the entry has polled a voter, and against one
    // that undoes an order that the entry does not know.
    small_system system(seconds(5));
    REQUIRE(eventually([&] { return system.loop(3).view()->ready; }));
    // No poll of entry 3 brings the newer view while the orders are given.
    for (std::size_t i = 0; i < 3; ++i)
        system.calls(i).read_delay_ms = 2'000;
    commit_and_wait(system.loop(0), make_order(true), seconds(10));
    auto const order_once = [&](bool is_evacuated)
    {
        return std::get<version::evacuation_result>(
            commit_and_wait(system.loop(3), make_order(is_evacuated), seconds(10)));
    };
    CHECK(order_once(false).is_outdated);
    CHECK(order_once(false).is_changed);
    CHECK(order_once(true).is_changed);
}

TEST_CASE("two operators order the opposite at two entries")
{
    // Guards against an entry that refuses orders for seconds, and against entries that disagree
    // about the last one.
    small_system system;
    REQUIRE(eventually([&] { return system.loop(3).view()->ready; }));
    auto const operate = [&](std::size_t entry, bool is_evacuated)
    {
        for (int i = 0; i < 10; ++i)
            order_until_committed(system.loop(entry), is_evacuated);
    };
    auto other = std::async(std::launch::async, [&] { operate(1, false); });
    operate(3, true);
    other.get();
    auto const began = std::chrono::steady_clock::now();
    REQUIRE(order_until_committed(system.loop(1), true));
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(1));
    CHECK(is_evacuated_at(system, {0, 1, 2, 3}));
}

TEST_CASE("an evacuation does not wait for the configuration in the same status")
{
    // Guards against requests to an evacuated data centre while a large configuration is fetched
    // over a slow link, and against an older status that ends the evacuation again.
    small_system system;
    REQUIRE(eventually([&] { return system.loop(3).view()->ready; }));
    for (std::size_t i = 0; i < 3; ++i)
        system.calls(i).remaining_fetches = 0;
    version::service_configuration configuration;
    configuration.map.number = 1;
    configuration.document = "document";
    commit_and_wait(system.loop(0), version::make_apply_command(configuration), seconds(10));
    commit_and_wait(system.loop(0), make_order(true), seconds(10));
    CHECK(is_evacuated_at(system, {3}));
    CHECK(system.loop(3).traffic()->services == nullptr);
    for (std::size_t i = 0; i < 3; ++i)
        system.calls(i).remaining_fetches = 1'000;
    CHECK(eventually([&] { return system.loop(3).traffic()->services != nullptr; }));
    CHECK(is_evacuated(system.loop(3)));

    evacuation_follower newest;
    newest.record(make_status(5, true));
    newest.record(make_status(4, false));
    auto older = std::make_shared<version::shared_state>();
    older->applied_index = 4;
    CHECK(newest.complete(older)->evacuations.contains(hobart));
    older->applied_index = 6;
    CHECK(newest.complete(older)->evacuations.empty());
}

TEST_CASE("a data centre is known by the settings, or by its machines, or by an earlier order")
{
    // Guards against a resent order that is refused because the data centre has no machine left.
    config::settings options;
    control_view view;
    auto shared = std::make_shared<version::shared_state>();
    view.shared = shared;
    CHECK_FALSE(is_known_data_centre(options, view, hobart));
    view.endpoints[service_name("model")].emplace_back().data_centre = hobart;
    CHECK(is_known_data_centre(options, view, hobart));
    options.data_centres[data_centre_id("syd-a")] = region_id("syd");
    CHECK_FALSE(is_known_data_centre(options, view, hobart));
    CHECK(is_known_data_centre(options, view, data_centre_id("syd-a")));
    version::set_evacuated(shared->evacuations, hobart, true, wall_time());
    version::set_evacuated(shared->evacuations, hobart, false, wall_time());
    CHECK(is_known_data_centre(options, view, hobart));
}
