#include <catch2/catch.hpp>

#include <lagoonladder/version.hpp>

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

/// Entries and accounts at the target size.
constexpr std::size_t many_entries = 350;
constexpr std::size_t accounts = 16;
constexpr std::uint64_t kept_windows = 8;

std::vector<usage_report> make_reports()
{
    std::vector<usage_report> reports(many_entries);
    for (std::size_t i = 0; i < many_entries; ++i)
    {
        reports[i].vm = vm_id("front-data-centre-" + std::to_string(i));
        reports[i].started = incarnation(1'780'000'000'000'000 + i);
        for (std::uint64_t window = 0; window < kept_windows; ++window)
        {
            for (std::size_t account = 0; account < accounts; ++account)
                reports[i].windows[356'000'000 + window]
                                  [account_id("account-" + std::to_string(account))] = i + account;
        }
    }
    return reports;
}

} // namespace

TEST_CASE("usage counts of many entries make no large command")
{
    // Guards against one log entry with the counts of all entries, which heartbeats wait for.
    auto const reports = make_reports();
    auto const notes = make_usage_commands(reports);
    CHECK(notes.size() > 1);
    std::size_t noted = 0;
    for (auto const& note : notes)
    {
        CHECK(encode(command{{}, note}).size() < 2 * max_content_part_bytes);
        noted += note.reports.size();
    }
    CHECK(noted == reports.size());
}

TEST_CASE("only news of open usage windows are noted")
{
    auto const report = make_reports()[3];
    auto const last = report.windows.rbegin()->first;
    auto const news = changed_usage(report, {}, last);
    CHECK(news.vm == report.vm);
    CHECK(news.started == report.started);
    REQUIRE(news.windows.size() == 1);
    CHECK(news.windows.begin()->first == last);
    CHECK(changed_usage(report, report, 0).windows.empty());

    auto changed = report;
    ++changed.windows[last][account_id("account-0")];
    CHECK(changed_usage(changed, report, 0).windows.size() == 1);
    // The counts of a daemon that was started again are others, also when they look alike.
    changed = report;
    changed.started = incarnation(7);
    CHECK(changed_usage(changed, report, 0).windows.size() == kept_windows);
}
