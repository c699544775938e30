#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/connection.hpp>

using namespace lagoonladder;
using connection::limit_sharing;

namespace
{

constexpr time_point start{};
constexpr std::uint32_t all_entries = 11;

limit_sharing settled_sharing()
{
    limit_sharing sharing;
    sharing.update(start, all_entries, true);
    sharing.update(start + seconds(10), all_entries, true);
    return sharing;
}

} // namespace

TEST_CASE("an entry that is cut off does not divide the limits among fewer entries")
{
    // Guards against a quota that is granted once on each side of a cut that lasts longer than the
    // time after which a silent entry counts as dead.
    auto cut_off = settled_sharing();
    auto remaining = settled_sharing();
    auto const cut_portion = cut_off.update(start + seconds(17), 1, false);
    CHECK(cut_portion.entries == all_entries);
    CHECK_FALSE(cut_portion.may_accrue);
    auto const remaining_portion = remaining.update(start + seconds(17), all_entries - 1, true);
    CHECK(remaining_portion.entries == all_entries - 1);
    CHECK(remaining_portion.may_accrue);
}

TEST_CASE("an entry that reaches a quorum again waits for the heartbeats of the others")
{
    // Guards against an entry that takes the whole quota right after a cut, because it reaches a
    // voter before it hears the other entries.
    auto sharing = settled_sharing();
    sharing.update(start + seconds(17), 1, false);
    auto const healed = sharing.update(start + seconds(20), 1, true);
    CHECK(healed.entries == all_entries);
    CHECK(healed.may_accrue);
    CHECK(sharing.update(start + seconds(25), 3, true).entries == all_entries);
    CHECK(sharing.update(start + seconds(27), 3, true).entries == 3);
}

TEST_CASE("entries without a leader go on with their portions")
{
    // Guards against refusals by all entries while no leader is elected, although all hear each
    // other and none counts the others as dead.
    auto sharing = settled_sharing();
    auto const portion = sharing.update(start + seconds(17), all_entries - 2, false);
    CHECK(portion.entries == all_entries);
    CHECK(portion.may_accrue);
}

TEST_CASE("an entry that starts does not take the portions of entries it has not heard yet")
{
    // Guards against entries that start at the same time and each take a portion for a system of
    // few entries.
    limit_sharing sharing;
    CHECK(sharing.update(start, 4, true).entries == 4);
    CHECK(sharing.update(start + milliseconds(500), all_entries, true).entries == all_entries);
    CHECK(sharing.update(start + seconds(1), 5, true).entries == all_entries);
}

TEST_CASE("the portions of all entries together stay within the limits in any partition")
{
    // Guards against any split of the entries, with the quorum on one side or on none, after which
    // the portions add up to more than the limits.
    rc::prop("the sum of the portions is at most 1",
             []
             {
                 auto const entries = *rc::gen::inRange<std::uint32_t>(2, 40);
                 auto const with_quorum = *rc::gen::inRange<std::uint32_t>(0, entries + 1);
                 auto const without_quorum = entries - with_quorum;
                 std::vector<limit_sharing> sharing(entries);
                 for (auto& entry : sharing)
                 {
                     entry.update(start, entries, true);
                     entry.update(start + seconds(10), entries, true);
                 }
                 double sum = 0;
                 for (std::uint32_t i = 0; i < entries; ++i)
                 {
                     bool const has_quorum = i < with_quorum;
                     // Entries with the quorum count as dead those they do not hear.
                     auto const portion =
                         sharing[i].update(start + seconds(20),
                                           has_quorum ? with_quorum : without_quorum, has_quorum);
                     sum += portion.may_accrue ? 1.0 / portion.entries : 0;
                 }
                 // Most entries on the side without the quorum keep their old portions: they cannot
                 // tell this from a system without a leader.
                 auto const kept = 2 * without_quorum > entries && with_quorum > 0
                                       ? static_cast<double>(without_quorum) / entries
                                       : 0;
                 RC_ASSERT(sum <= 1.0 + kept + 1e-9);
             });
}
