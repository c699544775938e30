#include <future>
#include <thread>

#include <catch2/catch.hpp>

#include "control_fixture.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

TEST_CASE("a configuration reaches every daemon and survives restarts")
{
    // Guards against an acknowledged generation that is not in force, or that is replaced by an
    // older one after a restart.
    small_system system;
    auto const stored = system.apply(3, 0, first_text, "op-1");
    REQUIRE(stored.outcome == version::apply_outcome::stored);
    auto const number = stored.generation.value();
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(eventually([&] { return is_in_force(system.loop(i), number); }));

    for (std::size_t i = 0; i < 4; ++i)
        system.stop(i);
    system.start(3);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK_FALSE(system.loop(3).view()->ready);
    for (std::size_t i = 0; i < 3; ++i)
        system.start(i);
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(eventually([&] { return is_in_force(system.loop(i), number); }));
}

TEST_CASE("of two concurrent changes to the same base one is stored and the other conflicts")
{
    // Guards against reporting to both operators that their file is in force.
    small_system system;
    auto const base = system.apply(0, 0, first_text, "op-1").generation.value();
    auto pending_result =
        std::async(std::launch::async, [&] { return system.apply(1, base, second_text, "op-2"); });
    auto const second = system.apply(3, base, first_text + "\n", "op-3");
    auto const first = pending_result.get();
    auto const stored = version::apply_outcome::stored;
    auto const conflict = version::apply_outcome::conflict;
    CHECK(((first.outcome == stored && second.outcome == conflict) ||
           (first.outcome == conflict && second.outcome == stored)));
    auto const& winner = first.outcome == stored ? first : second;
    auto const again = first.outcome == stored ? system.apply(2, base, second_text, "op-2")
                                               : system.apply(2, base, first_text + "\n", "op-3");
    CHECK(again.outcome == version::apply_outcome::repeated);
    CHECK(again.generation == winner.generation);
}

TEST_CASE("without a quorum no command is committed and no lookup succeeds")
{
    // Guards against an isolated daemon granting a dispatch or denying an earlier one.
    small_system system;
    system.apply(0, 0, first_text, "op-1");
    // A daemon may be ready before it has the configuration.
    REQUIRE(eventually([&] { return system.loop(3).view()->ready; }));
    REQUIRE(eventually([&] { return system.loop(3).view()->shared->generation.value() > 0; }));
    system.stop(0);
    system.stop(1);
    auto const now = system_clock().wall_now();
    CHECK(propose_and_wait(system.loop(2), begin_booking("a-1", now), milliseconds(1500)).status !=
          proposal_status::committed);
    CHECK(find_and_wait(system.loop(3), begin_booking("a-1", now).key, milliseconds(1500)).status ==
          find_status::unavailable);
    CHECK(eventually([&] { return !system.loop(2).view()->quorum_recent; }));
    CHECK(eventually([&] { return !system.loop(3).view()->quorum_recent; }));
    CHECK(system.loop(3).view()->shared->generation.value() > 0);
}

TEST_CASE("a voter with a lost disk joins again and a second loss is survived")
{
    // Guards against the loss of acknowledged log entries when a replaced voter counts towards the
    // quorum before it has them.
    small_system system;
    auto const number = system.apply(0, 0, first_text, "op-1").generation.value();
    system.stop(2);
    system.lose_disk(2);
    system.start(2);
    auto const joined = [&]
    {
        auto const voters = system.loop(0).view()->voters;
        return voters.size() == 3 &&
               std::find(voters.begin(), voters.end(), "entry-2#2") != voters.end();
    };
    REQUIRE(eventually(joined));
    system.stop(0);
    auto const next = system.apply(2, number, second_text, "op-2");
    CHECK(next.outcome == version::apply_outcome::stored);
    CHECK(eventually([&] { return is_in_force(system.loop(3), next.generation.value()); }));
}

TEST_CASE("without contact to a quorum a daemon counts its configuration as outdated")
{
    // Guards against a 404 for a route that was added while the daemon could not read the state.
    small_system system;
    auto const number = system.apply(3, 0, first_text, "op-1").generation.value();
    for (std::size_t i = 0; i < 4; ++i)
        REQUIRE(eventually([&] { return is_in_force(system.loop(i), number); }));
    REQUIRE(eventually([&] { return !is_outdated(*system.loop(3).traffic()); }));
    system.stop(0);
    system.stop(1);
    CHECK(eventually([&] { return is_outdated(*system.loop(2).traffic()); }));
    CHECK(eventually([&] { return is_outdated(*system.loop(3).traffic()); }));
    system.start(0);
    system.start(1);
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(eventually([&] { return !is_outdated(*system.loop(i).traffic()); }));
}

TEST_CASE("a view that the control thread cannot renew counts as outdated")
{
    // Guards against a 404 for a route that was added while the control thread of an entry waited
    // for a disk or for processor time, and the traffic thread did not.
    small_system system;
    auto const first = system.apply(3, 0, first_text, "op-1").generation.value();
    for (std::size_t const i : {1, 3})
    {
        REQUIRE(eventually([&] { return is_in_force(system.loop(i), first); }));
        REQUIRE(eventually([&] { return !is_outdated(*system.loop(i).traffic()); }));
    }
    // Both control threads stand still at the time of the check.
    for (std::size_t const i : {1, 3})
        system.freeze(i, std::chrono::milliseconds(1'500));
    std::this_thread::sleep_for(std::chrono::milliseconds(1'300));
    for (std::size_t const i : {1, 3})
        CHECK(is_outdated(*system.loop(i).traffic()));
    for (std::size_t const i : {1, 3})
        CHECK(eventually([&] { return !is_outdated(*system.loop(i).traffic()); }));
}

TEST_CASE("the first state of a daemon counts as current from its request, not from its arrival")
{
    // Guards against 404 by the configuration of a reply that took most of its time limit, right
    // after a start.
    small_system system;
    auto const first = system.apply(3, 0, first_text, "op-1").generation.value();
    system.stop(3);
    for (std::size_t i = 0; i < 3; ++i)
        system.calls(i).read_delay_ms = 600;
    system.start(3);
    // The first request has arrived by then; all later ones take too long.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    for (std::size_t i = 0; i < 3; ++i)
        system.calls(i).read_delay_ms = 3'000;
    REQUIRE(eventually([&] { return is_in_force(system.loop(3), first); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(750));
    CHECK(is_outdated(*system.loop(3).traffic()));
}

TEST_CASE("a daemon uses replies of voters that are later than its next poll")
{
    // Guards against an entry that serves by an old configuration for seconds, because it or the
    // voters are out of processor time and it drops each reply that takes longer than 300 ms.
    small_system system;
    auto const first = system.apply(3, 0, first_text, "op-1").generation.value();
    REQUIRE(eventually([&] { return is_in_force(system.loop(3), first); }));
    for (std::size_t i = 0; i < 3; ++i)
        system.calls(i).read_delay_ms = 700;
    auto const second = system.apply(0, first, second_text, "op-2").generation.value();
    auto const deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(2'500);
    while (!is_in_force(system.loop(3), second) && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    CHECK(is_in_force(system.loop(3), second));
}

TEST_CASE("a damaged reply to a proposal or a lookup leaves the outcome unknown")
{
    // Guards against a process that ends because another one sent bytes that it cannot decode.
    small_system system;
    system.apply(3, 0, first_text, "op-1");
    auto const booking = begin_booking("a-1", system_clock().wall_now());
    commit_and_wait(system.loop(3), booking, seconds(10));
    for (std::size_t i = 0; i < 3; ++i)
        system.calls(i).damages_replies = true;
    CHECK(propose_and_wait(system.loop(3), booking, milliseconds(500)).status ==
          proposal_status::unknown);
    CHECK(find_and_wait(system.loop(3), booking.key, milliseconds(500)).status ==
          find_status::unavailable);
    for (std::size_t i = 0; i < 3; ++i)
        system.calls(i).damages_replies = false;
    CHECK(find_and_wait(system.loop(3), booking.key, seconds(10)).status == find_status::found);
}

TEST_CASE("a voter with a lost disk counts towards the quorum soon after its restart")
{
    // Guards against a second loss before the first is repaired: a voter that started with an empty
    // disk took 3.7 s to count towards the quorum again, and another disk may be lost 4 s later.
    // The limit is about half of the former time.
    constexpr std::chrono::seconds join_limit(2);
    small_system system;
    auto const number = system.apply(3, 0, first_text, "op-1").generation.value();
    for (std::size_t i = 0; i < 4; ++i)
        REQUIRE(eventually([&] { return is_in_force(system.loop(i), number); }));
    for (std::size_t lost = 0; lost < 3; ++lost)
    {
        system.stop(lost);
        system.lose_disk(lost);
        // The others elect a leader first if the lost voter was the leader.
        auto const other_voter = (lost + 1) % 3;
        REQUIRE(eventually([&] { return system.loop(other_voter).view()->quorum_recent; }));
        std::this_thread::sleep_for(seconds(2));
        system.start(lost);
        auto const voter = "entry-" + std::to_string(lost) + "#2";
        auto const is_voter = [&]
        {
            auto const voters = system.loop(other_voter).view()->voters;
            return voters.size() == 3 &&
                   std::find(voters.begin(), voters.end(), voter) != voters.end();
        };
        CHECK(eventually(is_voter, join_limit));
        REQUIRE(eventually(is_voter));
    }
}

TEST_CASE("voters whose seeds are gone find each other after a restart of all")
{
    // Guards against entries that name nobody and share no limits, since all machines lost power at
    // once and the seeds of the settings are gone, although the log names the other voters.
    small_system system;
    auto const number = system.apply(3, 0, first_text, "op-1").generation.value();
    for (std::size_t i = 0; i < 4; ++i)
        system.stop(i);
    system.seeds = {free_address()};
    for (std::size_t i = 0; i < 3; ++i)
        system.start(i);
    for (std::size_t i = 0; i < 3; ++i)
    {
        CHECK(eventually([&] { return is_in_force(system.loop(i), number); }));
        CHECK(eventually([&] { return system.loop(i).view()->entries.size() == 3; }));
    }
}

TEST_CASE("one attempt of a booking is granted when entries race")
{
    // Guards against two entries that both dispatch a retried booking.
    small_system system;
    system.apply(0, 0, first_text, "op-1");
    auto const now = system_clock().wall_now();
    std::vector<std::future<request::at_most_once_reply>> replies;
    for (std::size_t i = 0; i < 4; ++i)
        replies.push_back(std::async(
            std::launch::async,
            [&system, i, now]
            {
                return std::get<request::at_most_once_reply>(commit_and_wait(
                    system.loop(i), begin_booking("a-" + std::to_string(i), now), seconds(10)));
            }));
    int granted = 0;
    for (auto& reply : replies)
        granted += reply.get().verdict == request::at_most_once_verdict::granted ? 1 : 0;
    CHECK(granted == 1);
    auto const found =
        find_and_wait(system.loop(3), begin_booking("a-0", now).key, seconds(5)).reply;
    REQUIRE(found);
    CHECK(found->verdict == request::at_most_once_verdict::in_progress);
}

TEST_CASE("a leaving endpoint is marked at every entry within three seconds")
{
    // Guards against an entry that sends new work to a leaving endpoint.
    small_system system;
    connection::endpoint_record row;
    row.id = endpoint_id("e-1");
    row.service = service_name("booking");
    row.version = version_name("v1");
    row.address = network_address("127.0.0.1:1");
    row.vm = vm_id("vm-1");
    row.data_centre = data_centre_id("dc-0");
    row.zone = zone_id("zone-0");
    row.machine_class = "small";
    row.incarnation = incarnation(1);
    row.sequence = 1;
    system.loop(0).announce(row, [](bool) {});
    auto const state_at = [&](std::size_t i) -> std::optional<connection::endpoint_state>
    {
        auto const view = system.loop(i).view();
        auto const rows = view->endpoints.find(row.service);
        if (rows == view->endpoints.end() || rows->second.empty())
            return std::nullopt;
        return rows->second.front().state;
    };
    for (std::size_t i = 0; i < 4; ++i)
        REQUIRE(eventually([&] { return state_at(i).has_value(); }, std::chrono::seconds(4)));
    system.loop(1).set_leaving(row.vm);
    auto const start_time = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(eventually([&] { return state_at(i) != connection::endpoint_state::serving; },
                         std::chrono::seconds(3)));
    CHECK(std::chrono::steady_clock::now() - start_time < std::chrono::seconds(3));
}

TEST_CASE("disks that are full one after another leave a group that stores changes")
{
    // Guards against changes that are refused or unanswered for good after the last disk has space
    // again, while all processes run (report of another operator).
    small_system system;
    std::uint64_t base = system.apply(3, 0, first_text, "op").generation.value();
    for (int round = 0; round < 2; ++round)
    {
        for (std::size_t i = 0; i < 3; ++i)
        {
            system.stores[i].is_full = true;
            auto const operation = "full-" + std::to_string(3 * round) + std::to_string(i);
            auto const text = first_text + std::string(static_cast<std::size_t>(round) + 1, '\n');
            base = system.apply((i + 1) % 3, base, i % 2 ? text : second_text, operation)
                       .generation.value();
            std::this_thread::sleep_for(std::chrono::milliseconds(700));
            system.stores[i].is_full = false;
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    }
    auto const begin = std::chrono::steady_clock::now();
    for (int change = 0; change < 3; ++change)
        base = system
                   .apply(static_cast<std::size_t>(change), base,
                          change % 2 ? first_text : second_text, "after-" + std::to_string(change))
                   .generation.value();
    CHECK(std::chrono::steady_clock::now() < begin + std::chrono::seconds(5));
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(eventually([&] { return is_in_force(system.loop(i), base); }));
}

TEST_CASE("a daemon whose disk is full continues without its log until there is space")
{
    // Guards against a daemon that exits and so breaks its callers' streams.
    small_system system;
    CHECK(system.apply(3, 0, first_text, "one").outcome == version::apply_outcome::stored);
    REQUIRE(eventually([&] { return system.loop(0).view()->shared->generation.value() == 1; }));
    system.stores[0].is_full = true;
    CHECK(system.apply(3, 1, second_text, "two").outcome == version::apply_outcome::stored);
    REQUIRE(eventually([&] { return system.loop(0).view()->shared->generation.value() == 2; }));
    CHECK(system.apply(0, 2, first_text, "three").outcome == version::apply_outcome::stored);
    system.stores[0].is_full = false;
    // Committing needs voter 0: the only other running voter is no quorum.
    std::this_thread::sleep_for(seconds(3));
    system.stop(1);
    CHECK(system.apply(3, 3, second_text, "four").outcome == version::apply_outcome::stored);
}

TEST_CASE("a voter whose disk stalls follows configurations")
{
    // Guards against a voter that serves calls by an old configuration for as long as a sync of its
    // disk takes, and stops its gossip meanwhile.
    small_system system;
    auto const first = system.apply(3, 0, first_text, "op-1").generation.value();
    for (std::size_t i = 0; i < 4; ++i)
        REQUIRE(eventually([&] { return is_in_force(system.loop(i), first); }));
    REQUIRE(eventually([&] { return system.leader(3) < 3; }));
    auto const stalled = (system.leader(3) + 1) % 3;
    system.stores[stalled].is_stalled = true;
    auto const second = system.apply(3, first, second_text, "op-2").generation.value();
    CHECK(eventually([&] { return is_in_force(system.loop(stalled), second); },
                     std::chrono::seconds(2)));
    CHECK(eventually([&] { return is_in_force(system.loop(3), second); }));
    system.stores[stalled].is_stalled = false;
    system.stop(stalled);
    system.stores[stalled].discard_unsynced();
    system.start(stalled);
    CHECK(eventually([&] { return is_in_force(system.loop(stalled), second); }));
}

TEST_CASE("a leader whose disk stalls is replaced")
{
    // Guards against a group that commits nothing while the disk of its leader takes seconds.
    small_system system;
    auto const first = system.apply(3, 0, first_text, "op-1").generation.value();
    REQUIRE(eventually([&] { return system.leader(3) < 3; }));
    auto const stalled = system.leader(3);
    system.stores[stalled].is_stalled = true;
    auto const other = (stalled + 1) % 3;
    auto const second = system.apply(other, first, second_text, "op-2").generation.value();
    CHECK(second == first + 1);
    system.stores[stalled].is_stalled = false;
    CHECK(eventually([&] { return is_in_force(system.loop(stalled), second); }));
}

TEST_CASE("a starting daemon becomes ready without waiting for its poll interval")
{
    // Guards against refused calls for the rest of a poll interval after all daemons restarted.
    small_system system(seconds(20));
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(eventually([&] { return system.loop(i).view()->ready; }, std::chrono::seconds(5)));
}
