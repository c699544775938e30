#include <catch2/catch.hpp>

#include "control_fixture.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

/// Time after its return in which a voter has to be up to date: less than the three seconds after
/// which it gives its leader up.
constexpr std::chrono::seconds catch_up_limit{2};

/// Voters that the daemon at `index` knows of.
std::size_t voter_count(small_system& system, std::size_t index)
{
    return system.loop(index).view()->voters.size();
}

/// Returns the index of a voter that is not the leader, once all voters and a leader are there.
std::size_t wait_for_follower(small_system& system)
{
    for (std::size_t i = 0; i <= system.voters; ++i)
        REQUIRE(eventually([&] { return system.loop(i).view()->ready; }));
    REQUIRE(eventually([&] { return system.leader(system.voters) < system.voters; }));
    return (system.leader(system.voters) + 1) % system.voters;
}

} // namespace

TEST_CASE("a voter that only its leader cannot reach follows configurations")
{
    // Guards against a voter that serves an old configuration as long as its own log does not
    // advance, although another voter could tell it the new one.
    small_system system;
    auto const cut_off = wait_for_follower(system);
    auto const other = (cut_off + 1) % system.voters;
    auto const first = system.apply(other, 0, first_text, "op-1").generation.value();
    REQUIRE(eventually([&] { return is_in_force(system.loop(cut_off), first); }));
    system.cut_off_log(cut_off, true);
    auto const second = system.apply(other, first, second_text, "op-2").generation.value();
    CHECK(eventually([&] { return is_in_force(system.loop(cut_off), second); }, catch_up_limit));
    CHECK(eventually([&] { return !is_outdated(*system.loop(cut_off).traffic()); }));
    system.cut_off_log(cut_off, false);
    auto const third = system.apply(other, second, first_text, "op-3").generation.value();
    CHECK(eventually([&] { return is_in_force(system.loop(cut_off), third); }, catch_up_limit));
}

TEST_CASE("a voter that was removed while it was frozen joins again at once")
{
    // Guards against a voter that takes the messages that its leader sent before the freeze for
    // contact: for three seconds after its return it neither joined nor followed configurations.
    small_system system(milliseconds(100), 10'000, 4);
    auto const frozen = wait_for_follower(system);
    auto const other = (frozen + 1) % system.voters;
    auto const first = system.apply(other, 0, first_text, "op-1").generation.value();
    REQUIRE(eventually([&] { return is_in_force(system.loop(frozen), first); }));
    REQUIRE(voter_count(system, other) == system.voters);

    constexpr std::chrono::milliseconds freeze_time{4'500};
    auto const end = std::chrono::steady_clock::now() + freeze_time;
    system.freeze(frozen, freeze_time);
    REQUIRE(eventually([&] { return voter_count(system, other) < system.voters; }));
    auto const second = system.apply(other, first, second_text, "op-2").generation.value();
    REQUIRE(std::chrono::steady_clock::now() < end);
    std::this_thread::sleep_until(end);
    CHECK(eventually([&] { return voter_count(system, other) == system.voters; }, catch_up_limit));
    CHECK(is_in_force(system.loop(frozen), second));
}
