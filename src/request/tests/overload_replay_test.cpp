#include <algorithm>
#include <cstdio>

#include <catch2/catch.hpp>

#include "overload_replay.hpp"

using namespace overload_model;

namespace
{

/// Seeds of the replays; a seed determines the calls, which are the same off and on.
std::vector<std::uint64_t> const seeds{1, 2, 3, 4, 5};

void print(char const* name, call_counts const& counts)
{
    std::printf("  %-10s called %6.0f  in time %6.0f  late %6.0f  refused %6.0f\n", name,
                counts.called, counts.in_time, counts.late, counts.refused);
}

/// Checks that of two kinds with enough refused calls, the more urgent ones may return earlier.
void check_retry_order(replay_result const& result)
{
    constexpr double min_compared = 100;
    for (std::size_t i = 1; i < kinds.size(); ++i)
    {
        auto const& urgent = result.by_kind[i - 1];
        auto const& other = result.by_kind[i];
        if (urgent.retries >= min_compared && other.retries >= min_compared)
            CHECK(urgent.retry_seconds / urgent.retries < other.retry_seconds / other.retries);
    }
}

void check_replay(std::uint64_t seed, load_pattern const& pattern, std::size_t entries)
{
    INFO(pattern.name << ", " << entries << " entries, seed " << seed);
    auto const off = overload_replay(seed, pattern, entries, false).run();
    auto const on = overload_replay(seed, pattern, entries, true).run();
    for (std::size_t i = 1; i < kinds.size(); ++i)
        CHECK(on.by_kind[i - 1].served_share() >= on.by_kind[i].served_share() - 0.05);
    for (auto const& account : on.by_account)
        CHECK(account.served_share() >= 0.25 * on.all.served_share());
    CHECK(on.needless == 0);
    CHECK(on.retry_too_late == 0);
    check_retry_order(on);
    CHECK(on.all.in_time >= off.all.in_time);
}

} // namespace

TEST_CASE("under overload the admission serves by urgency and loses no call in time")
{
    // Guards against a decision that serves fewer calls in time than none, urgent calls less often
    // than others, or one account hardly at all.
    for (auto const seed : seeds)
    {
        for (auto const& pattern : patterns)
        {
            for (auto const entries : entry_counts)
                check_replay(seed, pattern, entries);
        }
    }
}

TEST_CASE("figures of the admission under overload", "[.figures]")
{
    for (auto const& pattern : patterns)
    {
        for (auto const entries : entry_counts)
        {
            for (bool const is_on : {false, true})
            {
                auto const result = overload_replay(1, pattern, entries, is_on).run();
                std::printf("%s, %zu entries, %s, needless %d\n", pattern.name, entries,
                            is_on ? "on" : "off", result.needless);
                print("all", result.all);
                for (std::size_t i = 0; i < kinds.size(); ++i)
                    print(kinds[i].route, result.by_kind[i]);
                print("account 0", result.by_account[0]);
                auto const& others = result.by_account;
                auto const least =
                    std::min_element(others.begin() + 1, others.end(),
                                     [](auto const& left, auto const& right)
                                     { return left.served_share() < right.served_share(); });
                print("least", *least);
            }
        }
    }
}
