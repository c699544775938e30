#include <catch2/catch.hpp>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using request::account_limit;
using request::account_quota;

namespace
{

account_id const account("t");

/// Tokens granted by several entries in ten seconds; each asks with its own rate.
double granted_in_ten_seconds(std::vector<double> const& rates, account_limit const& limit)
{
    constexpr double request_tokens = 100;
    std::vector<account_quota> entries(rates.size());
    std::vector<double> owed(rates.size());
    double granted = 0;
    std::vector<double> told(rates.size());
    auto const step = milliseconds(10);
    for (time_point now{}; now < time_point(seconds(10)); now += step)
    {
        // Entries hear of each other's demand once a second.
        if (now.time_since_epoch() % seconds(1) == duration(0))
        {
            for (std::size_t i = 0; i < rates.size(); ++i)
                told[i] = entries[i].demand(now)[account];
        }
        for (std::size_t i = 0; i < rates.size(); ++i)
        {
            double others = 0;
            for (std::size_t j = 0; j < rates.size(); ++j)
                others += j == i ? 0 : told[j];
            owed[i] += rates[i] * to_seconds(step);
            for (; owed[i] >= request_tokens; owed[i] -= request_tokens)
            {
                auto const decision = entries[i].take(
                    now, account, limit,
                    {told[i], others, static_cast<std::uint32_t>(rates.size())}, request_tokens);
                granted += decision.granted ? request_tokens : 0;
            }
        }
    }
    return granted;
}

} // namespace

TEST_CASE("entries together stay within the quota of an account")
{
    account_limit const limit{10'000, 10'000};
    auto const most = 10 * limit.tokens_per_second + limit.burst;
    // All entries ask for several times the limit.
    auto const flood = granted_in_ten_seconds(std::vector<double>(10, 8'000), limit);
    CHECK(flood <= most * 1.1);
    CHECK(flood >= most * 0.8);
    // The whole demand comes to one entry.
    std::vector<double> one_sided(10, 0);
    one_sided[3] = 20'000;
    CHECK(granted_in_ten_seconds(one_sided, limit) <= most * 1.1);
}

TEST_CASE("requests within the quota are not refused")
{
    // Guards against refusals below the limit, which callers lose for nothing.
    account_limit const limit{10'000, 10'000};
    CHECK(granted_in_ten_seconds(std::vector<double>(10, 800), limit) >= 79'000);
}

TEST_CASE("a refusal tells when the tokens are there")
{
    account_quota quota;
    account_limit const limit{100, 100};
    time_point const now{seconds(1)};
    CHECK(quota.take(now, account, limit, {}, 100).granted);
    auto const refused = quota.take(now, account, limit, {}, 50);
    CHECK_FALSE(refused.granted);
    CHECK(refused.retry_after == milliseconds(500));
    CHECK(quota.take(now + milliseconds(501), account, limit, {}, 50).granted);
}
