#include <catch2/catch.hpp>

#include "control_fixture.hpp"

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

/// Time after its return in which a voter has to be up to date: less than the three seconds after
/// which it gives its leader up.
constexpr std::chrono::seconds catch_up_limit{2};

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
