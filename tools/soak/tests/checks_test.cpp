#include <catch2/catch.hpp>

#include <lagoonladder/soak.hpp>

using namespace lagoonladder;
using namespace lagoonladder::soak;

namespace
{

check_bounds const bounds;
constexpr entry_id diskless{5};
constexpr entry_id other_diskless{6};
constexpr entry_id with_disk{1};
constexpr config_version first{10};
constexpr config_version second{14};
constexpr config_version invalid{20};

run_time at(double value)
{
    return from_seconds(value);
}

/// Version 10 adds "kept" and "gone" and is acknowledged at 5 s; version 14 adds "fresh" and
/// removes "gone" and is acknowledged at 10 s.
history make_history()
{
    history recorded;
    recorded.changes = {{at(4.9), first, true, {"kept", "gone"}, {}},
                        {at(9.9), second, true, {"fresh"}, {"gone"}},
                        {at(10.5), invalid, false, {}, {}}};
    recorded.puts = {{at(4.9), at(5), with_disk, first, 200},
                     {at(9.9), at(10), diskless, second, 200},
                     {at(10.5), at(10.6), diskless, invalid, 400}};
    for (auto const entry : {with_disk, diskless, other_diskless})
        recorded.faults.push_back({at(0.5), entry, fault_kind::start, entry == with_disk});
    return recorded;
}

void add_read(history& recorded, double sent, config_version version, entry_id entry = diskless)
{
    recorded.reads.push_back({at(sent), at(sent + 0.01), entry, 200, version, true});
}

void add_call(history& recorded, double sent, double ended, std::string const& route, int status)
{
    recorded.calls.push_back({at(sent), at(ended), diskless, route, status, "id", false});
}

void add_call(history& recorded, double sent, std::string const& route, int status)
{
    add_call(recorded, sent, sent + 0.01, route, status);
}

void add_fault(history& recorded, double time, entry_id entry, fault_kind kind)
{
    recorded.faults.push_back({at(time), entry, kind, entry == with_disk});
}

void add_final(history& recorded)
{
    recorded.final_fault = final_event{at(20), at(22), {with_disk, diskless}};
}

} // namespace

TEST_CASE("a history that keeps all rules has no violation")
{
    auto recorded = make_history();
    add_read(recorded, 6.9, config_version{});
    add_read(recorded, 8, first);
    add_read(recorded, 11.9, first);
    add_read(recorded, 12.1, second);
    add_call(recorded, 5.5, "fresh", 404);
    add_call(recorded, 8, "gone", 200);
    add_call(recorded, 11.9, "gone", 200);
    add_call(recorded, 12.5, "gone", 404);
    add_call(recorded, 12.5, "fresh", 200);
    add_call(recorded, 13, "fresh", 503);
    add_call(recorded, 13, "kept", 0);
    add_final(recorded);
    add_read(recorded, 23, second);
    add_read(recorded, 23, second, with_disk);
    recorded.reads[0].status = 503;
    CHECK(check_all(recorded, bounds).empty());
}

TEST_CASE("a read of an older version is found")
{
    auto recorded = make_history();
    add_read(recorded, 11.9, first);
    CHECK(check_reads(recorded, bounds).empty());
    add_read(recorded, 12.1, first);
    REQUIRE(check_reads(recorded, bounds).size() == 1);
    CHECK(check_reads(recorded, bounds)[0].rule == "read");
}

TEST_CASE("a late acknowledgement of an older version doesn't hide the newer one")
{
    auto recorded = make_history();
    recorded.puts.push_back({at(11), at(11.1), diskless, first, 200});
    add_read(recorded, 14, first);
    CHECK(check_reads(recorded, bounds).size() == 1);
}

TEST_CASE("a read with other routes than sent is found")
{
    auto recorded = make_history();
    add_read(recorded, 8, first);
    recorded.reads.back().intact = false;
    CHECK(check_reads(recorded, bounds).size() == 1);
}

TEST_CASE("an older read by an entry that was just disturbed is found")
{
    auto recorded = make_history();
    add_fault(recorded, 11, diskless, fault_kind::stop);
    add_fault(recorded, 13, diskless, fault_kind::resume);
    add_read(recorded, 13.1, first);
    CHECK(check_reads(recorded, bounds).size() == 1);
}

TEST_CASE("an invalid version that is acknowledged or read is found")
{
    auto recorded = make_history();
    add_read(recorded, 11, invalid);
    CHECK(check_answers(recorded).size() == 1);
    recorded.puts.back().status = 200;
    CHECK(check_answers(recorded).size() == 2);
}

TEST_CASE("a version that is read before it was sent or that was never sent is found")
{
    auto recorded = make_history();
    add_read(recorded, 9, second);
    add_read(recorded, 9, config_version{11});
    CHECK(check_answers(recorded).size() == 2);
}

TEST_CASE("a valid version that is refused is found, one that is put off is not")
{
    auto recorded = make_history();
    recorded.puts.push_back({at(11), at(11.1), diskless, second, 503});
    recorded.puts.push_back({at(11), at(11.1), diskless, second, 429});
    CHECK(check_answers(recorded).empty());
    recorded.puts.push_back({at(11), at(11.1), diskless, second, 409});
    CHECK(check_answers(recorded).size() == 1);
}

TEST_CASE("an added route that is refused late is found")
{
    for (int const status : {401, 403, 404})
    {
        auto recorded = make_history();
        add_call(recorded, 11.9, "fresh", status);
        CHECK(check_added_routes(recorded, bounds).empty());
        add_call(recorded, 12.1, "fresh", status);
        CHECK(check_added_routes(recorded, bounds).size() == 1);
    }
}

TEST_CASE("a refusal of a route that a version in progress removes is no violation")
{
    auto recorded = make_history();
    recorded.puts[1].status = 0;
    add_call(recorded, 12.1, "gone", 404);
    CHECK(check_added_routes(recorded, bounds).empty());
    add_call(recorded, 9, "gone", 404);
    CHECK(check_added_routes(recorded, bounds).size() == 1);
}

TEST_CASE("only disturbances that matter put an entry out of touch")
{
    auto const found_after = [](entry_id entry, fault_kind kind, double time)
    {
        auto recorded = make_history();
        add_fault(recorded, time, entry, kind);
        add_call(recorded, 15, "fresh", 404);
        return check_added_routes(recorded, bounds).size();
    };
    CHECK(found_after(diskless, fault_kind::reload, 13) == 0);
    CHECK(found_after(diskless, fault_kind::reload, 11.9) == 1);
    CHECK(found_after(with_disk, fault_kind::reload, 13) == 0);
    CHECK(found_after(other_diskless, fault_kind::kill, 13) == 1);
    // Down or frozen for longer than the time that makes an entry in touch again.
    CHECK(found_after(with_disk, fault_kind::kill, 5) == 0);
    CHECK(found_after(diskless, fault_kind::stop, 5) == 0);
    CHECK(found_after(entry_id{}, fault_kind::busy, 14) == 1);
}

TEST_CASE("an entry is in touch again after its return or its replacement")
{
    for (auto const end : {fault_kind::start, fault_kind::replace})
    {
        auto recorded = make_history();
        add_fault(recorded, 5, with_disk, fault_kind::kill);
        add_fault(recorded, 11.5, with_disk, end);
        add_call(recorded, 14.4, "fresh", 404);
        CHECK(check_added_routes(recorded, bounds).empty());
        add_call(recorded, 14.6, "fresh", 404);
        CHECK(check_added_routes(recorded, bounds).size() == 1);
    }
}

TEST_CASE("a route that is unknown again to a process is found")
{
    auto recorded = make_history();
    add_fault(recorded, 10, with_disk, fault_kind::kill);
    add_call(recorded, 10.1, "fresh", 200);
    add_call(recorded, 10.3, "fresh", 404);
    CHECK(check_regressions(recorded, bounds).empty());
    add_call(recorded, 10.5, "fresh", 404);
    CHECK(check_regressions(recorded, bounds).size() == 1);
}

TEST_CASE("a removed route that runs again at a process is found")
{
    auto recorded = make_history();
    add_call(recorded, 8, "gone", 200);
    add_call(recorded, 10.1, "gone", 404);
    add_call(recorded, 10.5, "gone", 200);
    CHECK(check_regressions(recorded, bounds).size() == 1);
}

TEST_CASE("a regression that shows on another route is found")
{
    auto recorded = make_history();
    add_call(recorded, 10.1, "fresh", 200);
    add_call(recorded, 10.5, "gone", 200);
    CHECK(check_regressions(recorded, bounds).size() == 1);
}

TEST_CASE("another incarnation may know less")
{
    auto recorded = make_history();
    add_call(recorded, 10.1, "fresh", 200);
    add_fault(recorded, 10.2, diskless, fault_kind::kill);
    add_fault(recorded, 10.3, diskless, fault_kind::start);
    add_call(recorded, 10.5, "fresh", 404);
    CHECK(check_regressions(recorded, bounds).empty());
}

TEST_CASE("a process that was frozen has two seconds more")
{
    auto recorded = make_history();
    add_call(recorded, 10.1, "fresh", 200);
    add_fault(recorded, 10.2, diskless, fault_kind::stop);
    add_fault(recorded, 14, diskless, fault_kind::resume);
    add_call(recorded, 15.9, "fresh", 404);
    CHECK(check_regressions(recorded, bounds).empty());
    add_call(recorded, 16.1, "fresh", 404);
    CHECK(check_regressions(recorded, bounds).size() == 1);
}

TEST_CASE("a removed route that runs late is found, also without an answer")
{
    auto recorded = make_history();
    add_call(recorded, 11.9, "gone", 200);
    CHECK(check_removed_routes(recorded, bounds).empty());
    add_call(recorded, 12.1, "gone", 200);
    CHECK(check_removed_routes(recorded, bounds).size() == 1);
    add_call(recorded, 12.1, "gone", 0);
    CHECK(check_removed_routes(recorded, bounds).size() == 1);
    recorded.calls.back().ran = true;
    CHECK(check_removed_routes(recorded, bounds).size() == 2);
}

TEST_CASE("a removed route that runs late out of touch is counted")
{
    auto recorded = make_history();
    add_fault(recorded, 11, diskless, fault_kind::stop);
    add_fault(recorded, 14, diskless, fault_kind::resume);
    add_call(recorded, 12.1, 14.1, "gone", 200);
    CHECK(check_removed_routes(recorded, bounds).empty());
    CHECK(summarize(recorded, bounds).late_runs_out_of_touch == 1);
}

TEST_CASE("after the final fault it takes twice as long to be in touch")
{
    auto recorded = make_history();
    add_final(recorded);
    add_fault(recorded, 20, diskless, fault_kind::kill);
    add_fault(recorded, 22, diskless, fault_kind::start);
    add_call(recorded, 27.9, "fresh", 404);
    CHECK(check_added_routes(recorded, bounds).empty());
    add_call(recorded, 28.1, "fresh", 404);
    CHECK(check_added_routes(recorded, bounds).size() == 1);
}

TEST_CASE("an entry that reads back late, older or never is found")
{
    auto recorded = make_history();
    add_final(recorded);
    add_read(recorded, 23, second);
    CHECK(check_final_state(recorded, bounds).size() == 1);
    add_read(recorded, 24, first, with_disk);
    CHECK(check_final_state(recorded, bounds).size() == 1);
    add_read(recorded, 34.1, second, with_disk);
    CHECK(check_final_state(recorded, bounds).size() == 1);
    add_read(recorded, 33, second, with_disk);
    CHECK(check_final_state(recorded, bounds).empty());
}

TEST_CASE("a read before the final fault doesn't count as read back")
{
    auto recorded = make_history();
    add_final(recorded);
    add_read(recorded, 19, second);
    add_read(recorded, 19, second, with_disk);
    CHECK(check_final_state(recorded, bounds).size() == 2);
}

TEST_CASE("a newer version that was sent may be read back")
{
    auto recorded = make_history();
    recorded.changes.push_back({at(19.9), config_version{30}, true, {}, {}});
    add_final(recorded);
    add_read(recorded, 23, config_version{30});
    add_read(recorded, 23, config_version{30}, with_disk);
    CHECK(check_all(recorded, bounds).empty());
}

TEST_CASE("a process that ends by itself is found unless its disk is full")
{
    auto recorded = make_history();
    add_fault(recorded, 5, with_disk, fault_kind::fill_disk);
    add_fault(recorded, 6, with_disk, fault_kind::exit);
    add_fault(recorded, 7, with_disk, fault_kind::free_disk);
    CHECK(check_exits(recorded).empty());
    add_fault(recorded, 8, with_disk, fault_kind::exit);
    CHECK(check_exits(recorded).size() == 1);
}

TEST_CASE("more losses than the deployment allows are found")
{
    constexpr entry_id neighbour{2};
    auto const found_at = [](double time)
    {
        auto recorded = make_history();
        add_fault(recorded, 5, with_disk, fault_kind::stop);
        add_fault(recorded, 8, with_disk, fault_kind::resume);
        recorded.faults.push_back({at(time), neighbour, fault_kind::kill, true});
        recorded.faults.push_back({at(time + 1), neighbour, fault_kind::start, true});
        return check_losses(recorded, seconds(4)).size();
    };
    CHECK(found_at(6) == 1);
    CHECK(found_at(11.9) == 1);
    CHECK(found_at(12.1) == 0);
}

TEST_CASE("lags are counted from the acknowledgement to the first call")
{
    auto recorded = make_history();
    add_call(recorded, 10.09, "fresh", 200);
    add_call(recorded, 10.5, "fresh", 200);
    add_call(recorded, 4.9, "kept", 200);
    auto totals = summarize(recorded, bounds);
    CHECK(totals.acknowledged == 2);
    CHECK(totals.calls == 3);
    REQUIRE(totals.lags.size() == 2);
    CHECK(totals.lags[0] == duration{});
    CHECK(totals.lags[1] == milliseconds(100));
    // What happened to the entry explains the lag.
    add_fault(recorded, 10.05, diskless, fault_kind::reload);
    CHECK(summarize(recorded, bounds).lags.size() == 1);
}

TEST_CASE("a call on a route of a newer version shows the older one too")
{
    auto recorded = make_history();
    add_call(recorded, 10.09, "fresh", 200);
    add_call(recorded, 12, "kept", 200);
    auto const totals = summarize(recorded, bounds);
    REQUIRE(totals.lags.size() == 2);
    CHECK(totals.lags[0] == milliseconds(100));
    CHECK(totals.lags[1] == milliseconds(5100));
}

TEST_CASE("calls that the checks judge are counted")
{
    auto recorded = make_history();
    add_call(recorded, 13, "fresh", 200);
    add_call(recorded, 13, "gone", 404);
    add_call(recorded, 11.9, "fresh", 200);
    add_call(recorded, 13, "fresh", 0);
    CHECK(summarize(recorded, bounds).judged_added == 1);
    CHECK(summarize(recorded, bounds).judged_removed == 1);
    add_fault(recorded, 12.9, with_disk, fault_kind::reload);
    CHECK(summarize(recorded, bounds).judged_added == 0);
}
