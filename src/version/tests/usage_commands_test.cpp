#include <catch2/catch.hpp>

#include <lagoonladder/version.hpp>

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

/// Number of entries and accounts of the largest supported system.
constexpr std::size_t entry_count = 350;
constexpr std::size_t account_count = 16;
constexpr std::uint64_t window_count = 8;

std::vector<usage_report> make_reports()
{
    std::vector<usage_report> reports(entry_count);
    for (std::size_t i = 0; i < entry_count; ++i)
    {
        reports[i].vm = vm_id("front-data-centre-" + std::to_string(i));
        reports[i].started = incarnation(1'780'000'000'000'000 + i);
        for (std::uint64_t window = 0; window < window_count; ++window)
        {
            for (std::size_t account = 0; account < account_count; ++account)
                reports[i].windows[356'000'000 + window]
                                  [account_id("account-" + std::to_string(account))] = i + account;
        }
    }
    return reports;
}

} // namespace

TEST_CASE("usage counts of many entries are split into small commands")
{
    // Guards against a log entry with the counts of all entries, which would delay the
    // heartbeats behind it.
    auto const reports = make_reports();
    auto const commands = make_usage_commands(reports);
    CHECK(commands.size() > 1);
    std::size_t report_count = 0;
    for (auto const& body : commands)
    {
        CHECK(encode(command{{}, body}).size() < 2 * max_content_part_bytes);
        report_count += body.reports.size();
    }
    CHECK(report_count == reports.size());
}

TEST_CASE("only changed counts of open usage windows are reported")
{
    // Guards against a log that grows with unchanged counts, and against changes that are lost.
    auto const report = make_reports()[3];
    auto const last = report.windows.rbegin()->first;
    auto const changes = changed_usage(report, {}, last);
    CHECK(changes.vm == report.vm);
    CHECK(changes.started == report.started);
    REQUIRE(changes.windows.size() == 1);
    CHECK(changes.windows.begin()->first == last);
    CHECK(changed_usage(report, report, 0).windows.empty());

    auto changed = report;
    ++changed.windows[last][account_id("account-0")];
    CHECK(changed_usage(changed, report, 0).windows.size() == 1);
    // The counts of a restarted daemon are new, even if they are equal.
    changed = report;
    changed.started = incarnation(7);
    CHECK(changed_usage(changed, report, 0).windows.size() == window_count);
}
