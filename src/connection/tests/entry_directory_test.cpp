#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <set>

#include "test_records.hpp"

using namespace lagoonladder;
using namespace lagoonladder::connection;

namespace
{

/// An entry "vm-0" in d0 that knows `count` others in three data centres.
entry_directory make_directory(int count)
{
    entry_directory directory(make_entry("vm-0", "d0"));
    for (int i = 1; i <= count; ++i)
        directory.merge(at({}), make_entry("vm-" + std::to_string(i), "d" + std::to_string(i % 3)));
    return directory;
}

std::set<std::string> vm_names(std::vector<entry_record> const& entries)
{
    std::set<std::string> out;
    for (auto const& entry : entries)
        out.insert(entry.vm.value());
    return out;
}

} // namespace

TEST_CASE("an entry without new heartbeats becomes suspect, then dead")
{
    // Guards against old digests that make a stopped entry appear alive.
    auto directory = make_directory(2);
    directory.merge(at(seconds(2)), make_entry("vm-1", "d1"));
    CHECK(directory.find(at(milliseconds(2999)), vm_id("vm-1"))->health == entry_health::alive);
    CHECK(directory.find(at(seconds(3)), vm_id("vm-1"))->health == entry_health::suspect);
    CHECK(vm_names(directory.list_for(at(seconds(3)), "caller")) == std::set<std::string>{"vm-0"});
    CHECK(directory.find(at(seconds(6)), vm_id("vm-1"))->health == entry_health::dead);
    CHECK(directory.expire(at(seconds(6))).size() == 2);
    CHECK(directory.expire(at(seconds(7))).empty());
    CHECK(directory.merge(at(seconds(7)), make_entry("vm-1", "d1")) == entry_result::unchanged);
    CHECK(vm_names(directory.digest(at(seconds(7)))) == std::set<std::string>{"vm-0"});
    CHECK(directory.merge(at(seconds(8)), make_entry("vm-1", "d1", 1, 1)) ==
          entry_result::advanced);
    CHECK(vm_names(directory.live(at(seconds(8)))) == std::set<std::string>{"vm-0", "vm-1"});
}

TEST_CASE("a pause of this process does not make the other entries dead")
{
    // Guards against a process that was paused, considers all others dead and takes over their
    // work.
    auto directory = make_directory(3);
    directory.expire(at(seconds(1)));
    CHECK(directory.expire(at(seconds(20))).empty());
    CHECK(directory.live(at(seconds(20))).size() == 4);
    for (int second = 21; second < 27; ++second)
        directory.expire(at(seconds(second)));
    CHECK(directory.live(at(seconds(27))).size() == 1);
}

TEST_CASE("an entry that starts late counts silence like the entry that it hears it from")
{
    // Guards against an entry that lists a VM for 6 s more than the others, because it counts the
    // silence of a VM from the moment at which it first hears of it.
    auto const first = make_directory(1);
    CHECK(first.own().heartbeat_age == duration::zero());
    entry_directory second(make_entry("vm-2", "d2"));
    second.merge(at(seconds(5)), first.digest(at(seconds(5))));
    CHECK(second.find(at(seconds(5)), vm_id("vm-0"))->health == entry_health::alive);
    CHECK(second.find(at(seconds(5)), vm_id("vm-1"))->health == entry_health::suspect);
    CHECK(second.find(at(seconds(5)), vm_id("vm-1"))->time_since_heartbeat == seconds(5));
    CHECK(vm_names(second.list_for(at(seconds(5)), "caller")) ==
          std::set<std::string>{"vm-0", "vm-2"});
    CHECK(second.find(at(seconds(6)), vm_id("vm-1"))->health == entry_health::dead);

    entry_directory third(make_entry("vm-3", "d0"));
    third.merge(at(milliseconds(5900)), second.digest(at(milliseconds(5900))));
    CHECK(third.live(at(milliseconds(5900))).size() == 4);
    CHECK(vm_names(third.live(at(seconds(6)))) == std::set<std::string>{"vm-0", "vm-2", "vm-3"});
}

TEST_CASE("a restarted entry is as silent as the entry that passes its row on knows")
{
    // Guards against a VM that restarts, is gone at once and is revived by each entry that hears of
    // the restart.
    auto directory = make_directory(1);
    auto restarted = make_entry("vm-1", "d1", 2);
    restarted.heartbeat_age = seconds(4);
    CHECK(directory.merge(at(seconds(1)), restarted) == entry_result::added);
    CHECK(directory.find(at(seconds(1)), vm_id("vm-1"))->health == entry_health::suspect);
    CHECK(directory.find(at(seconds(3)), vm_id("vm-1"))->health == entry_health::dead);
}

TEST_CASE("a heartbeat that was passed on several times counts as new within the allowance")
{
    // Guards against entries of large systems that suspect each other because each heartbeat is
    // some seconds old when it arrives, and against old heartbeats that revive an entry for long.
    auto directory = make_directory(2);
    auto passed_on = make_entry("vm-1", "d1", 1, 7);
    passed_on.heartbeat_age = seconds(3);
    directory.merge(at(seconds(4)), passed_on);
    CHECK(directory.find(at(seconds(4)), vm_id("vm-1"))->time_since_heartbeat == seconds(0));
    // The age that is passed on is not reduced by the allowance.
    CHECK(directory.find(at(seconds(4)), vm_id("vm-1"))->record.heartbeat_age == seconds(3));
    passed_on.heartbeat = heartbeat_count(8);
    passed_on.heartbeat_age = seconds(5);
    directory.merge(at(seconds(5)), passed_on);
    CHECK(directory.find(at(seconds(5)), vm_id("vm-1"))->time_since_heartbeat == seconds(1));
    passed_on.heartbeat = heartbeat_count(9);
    passed_on.heartbeat_age = seconds(60);
    directory.merge(at(seconds(6)), passed_on);
    CHECK(directory.find(at(seconds(6)), vm_id("vm-1"))->time_since_heartbeat == seconds(2));
    CHECK(directory.find(at(seconds(10)), vm_id("vm-1"))->health == entry_health::dead);
}

TEST_CASE("an old heartbeat of a dead entry is not reported again")
{
    // Guards against repeated events about an entry that is dead, each time an older entry passes
    // on one more of its heartbeats.
    auto directory = make_directory(1);
    CHECK(directory.expire(at(seconds(1))).empty());
    for (int second = 2; second < 6; ++second)
        CHECK(directory.expire(at(seconds(second))).empty());
    CHECK(directory.expire(at(seconds(6))).size() == 1);
    auto late = make_entry("vm-1", "d1", 1, 7);
    late.heartbeat_age = seconds(9);
    CHECK(directory.merge(at(seconds(7)), late) == entry_result::advanced);
    CHECK(directory.find(at(seconds(7)), vm_id("vm-1"))->health == entry_health::dead);
    CHECK(directory.expire(at(seconds(7))).empty());
}

TEST_CASE("an entry supersedes rows of its earlier incarnation")
{
    // Guards against an entry whose new rows are ignored because its wall clock was set back.
    entry_directory directory(make_entry("vm-0", "d0", 5));
    CHECK(directory.merge(at({}), make_entry("vm-0", "d0", 9, 3, entry_state::leaving)) ==
          entry_result::self);
    CHECK(directory.own().incarnation == incarnation(10));
    CHECK(directory.own().state == entry_state::serving);
    CHECK(directory.merge(at({}), make_entry("vm-0", "d0", 9, 9, entry_state::leaving)) ==
          entry_result::stale);
    auto const summary =
        directory.merge(at({}), std::vector{make_entry("vm-0", "d0", 10, 0, entry_state::leaving)});
    CHECK(summary.self_marked_leaving);
    CHECK(directory.own().state == entry_state::leaving);
}

TEST_CASE("leaving entries are omitted immediately and for their entire incarnation")
{
    // Guards against callers that are directed to an entry that is about to stop.
    auto directory = make_directory(4);
    CHECK(directory.set_leaving(at({}), vm_id("vm-2")) == entry_result::marked_leaving);
    CHECK(directory.merge(at({}), make_entry("vm-2", "d2", 1, 8)) == entry_result::advanced);
    CHECK(vm_names(directory.list_for(at({}), "caller")).count("vm-2") == 0);
    CHECK(directory.merge(at({}), make_entry("vm-2", "d2", 2)) == entry_result::added);
    CHECK(vm_names(directory.list_for(at({}), "caller")).count("vm-2") == 1);
    CHECK(directory.set_leaving(at({}), vm_id("vm-99")) == entry_result::not_found);
}

TEST_CASE("callers are spread over entries and data centres")
{
    // Guards against a single entry that gets all callers, and against lists of a single data
    // centre.
    auto const directory = make_directory(8);
    std::map<vm_id, int> callers_by_first_entry;
    for (int caller = 0; caller < 900; ++caller)
    {
        auto const list = directory.list_for(at({}), "caller-" + std::to_string(caller), 3);
        REQUIRE(list.size() == 3);
        std::set<data_centre_id> data_centres;
        for (auto const& entry : list)
            data_centres.insert(entry.data_centre);
        CHECK(data_centres.size() == 3);
        ++callers_by_first_entry[list.front().vm];
    }
    CHECK(callers_by_first_entry.size() == 9);
    for (auto const& [vm, count] : callers_by_first_entry)
        CHECK(count < 150);
}

TEST_CASE("every entry gives a caller the same order")
{
    // Guards against an order that depends on the entry that computes it, since callers would
    // then not be distributed evenly.
    auto const directory = make_directory(5);
    entry_directory other_directory(make_entry("vm-3", "d0"));
    for (int i : {0, 5, 4, 2, 1})
        other_directory.merge(at({}),
                              make_entry("vm-" + std::to_string(i), "d" + std::to_string(i % 3)));
    CHECK(nlohmann::json(directory.list_for(at({}), "x")) ==
          nlohmann::json(other_directory.list_for(at({}), "x")));
}

TEST_CASE("a companion is in another data centre if possible")
{
    // Guards against losing the owner and the companion of a request with one data centre.
    auto directory = make_directory(6);
    std::set<std::string> companions;
    for (int i = 0; i < 100; ++i)
    {
        auto const companion = directory.companion_for(at({}), "request-" + std::to_string(i));
        REQUIRE(companion);
        CHECK(companion->data_centre != data_centre_id("d0"));
        companions.insert(companion->vm.value());
    }
    CHECK(companions.size() == 4);
    for (auto const* vm : {"vm-1", "vm-2", "vm-4", "vm-5"})
        directory.set_leaving(at({}), vm_id(vm));
    CHECK(directory.companion_for(at({}), "x")->data_centre == data_centre_id("d0"));
    CHECK_FALSE(entry_directory(make_entry("vm-0", "d0")).companion_for(at({}), "x"));
}

TEST_CASE("two live entries of a data centre poll the cloud API")
{
    // Guards against reclaim notices that no entry reads after the polling entry has failed.
    auto directory = make_directory(9);
    auto const before = directory.cloud_pollers(at({}), data_centre_id("d1"));
    REQUIRE(before.size() == 2);
    directory.set_leaving(at({}), before.front());
    auto const after = directory.cloud_pollers(at({}), data_centre_id("d1"));
    REQUIRE(after.size() == 2);
    CHECK(std::find(after.begin(), after.end(), before.front()) == after.end());
    entry_directory only_entry(make_entry("vm-0", "d0", 1, 0, entry_state::leaving));
    CHECK(only_entry.is_cloud_poller(at({})));
}

TEST_CASE("gossip goes to one peer inside and one outside the data centre")
{
    // Guards against updates that stay within a data centre, and against entries that remain
    // separated after a partition has ended.
    auto const directory = make_directory(6);
    seeded_random random(1);
    for (int i = 0; i < 50; ++i)
    {
        auto const peers = directory.gossip_peers(at({}), random);
        REQUIRE(peers.size() == 2);
        CHECK(peers[0].data_centre == data_centre_id("d0"));
        CHECK(peers[1].data_centre != data_centre_id("d0"));
        CHECK(directory.gossip_peers(at(seconds(10)), random).size() == 2);
    }
}
