#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>

#include "service_budgets.hpp"

using namespace lagoonladder;
using namespace lagoonladder::proxy;

namespace
{

service_name const service("plain");
constexpr duration step = milliseconds(20);
constexpr service_budget_options options{0.15, 62, seconds(10)};
/// Retries per first attempt that the platform allows beside the burst.
constexpr double allowed_share = 0.2;

/// Entries whose calls all fail, so that each call asks for retries as often as it can, and the
/// retries of all entries within a window.
class failing_system
{
public:
    failing_system(std::uint64_t seed, std::size_t count)
        : random(seed)
        , entries(count, service_budgets(options, time_point{}))
    {
    }

    void restart(std::size_t entry) { this->entries[entry] = service_budgets(options, this->now); }

    /// Sends one call to a random entry, which knows of `known` entries.
    void call(std::uint32_t known)
    {
        this->now += step;
        auto& budget = this->entries[this->random.below(this->entries.size())].budget(
            this->now, service, known);
        budget.first_attempt();
        this->record(this->requests);
        request::retry_query const query{1, this->now + seconds(30), true, true, {}};
        while (budget.retry(this->now, query, this->random).delay)
            this->record(this->retries);
    }

    /// Retries of the last window beyond those that the platform allows.
    double excess() const
    {
        return static_cast<double>(this->retries.size()) - options.burst -
               allowed_share * static_cast<double>(this->requests.size());
    }

    std::size_t size() const { return this->entries.size(); }

    seeded_random random;
    time_point now = time_point{} + seconds(60);

private:
    void record(std::deque<time_point>& times)
    {
        times.push_back(this->now);
        for (auto* old : {&this->requests, &this->retries})
        {
            while (!old->empty() && old->front() + options.window <= this->now)
                old->pop_front();
        }
    }

    std::vector<service_budgets> entries;
    std::deque<time_point> requests;
    std::deque<time_point> retries;
};

} // namespace

TEST_CASE("entries that restart one after the other do not multiply the retries of a service")
{
    // Guards against processes that start with a full budget which the process before them has
    // spent, and against a budget sized for the few entries that a process knows at its first call.
    failing_system system(1, 11);
    for (int i = 0; i < 1'500; ++i)
    {
        system.call(11);
        if (i % 35 == 0)
            system.restart(static_cast<std::size_t>(i / 35) % system.size());
        REQUIRE(system.excess() <= 0);
    }
}

TEST_CASE("a budget follows the number of entries")
{
    // Guards against the part of a single entry that stays with an entry of a large system.
    service_budgets budgets(options, time_point{});
    auto const now = time_point{} + seconds(60);
    CHECK(budgets.budget(now, service, 1).tokens() == 62);
    CHECK(budgets.budget(now, service, 31).tokens() == 2);
    CHECK(budgets.budget(now, service, 1).tokens() == 2);
}

TEST_CASE("an entry that has run for a window has its part of the burst")
{
    // Guards against entries that never get the burst, so that callers lose the retries after a
    // sudden failure.
    service_budgets budgets(options, time_point{});
    CHECK(budgets.budget(time_point{} + seconds(9), service, 2).tokens() == 0);
    CHECK(budgets.budget(time_point{} + seconds(10), service, 2).tokens() == 31);
}

TEST_CASE("the retries of a service stay within their limit in any series of restarts")
{
    // Guards against any schedule of restarts, at any rate, by which the retries exceed the limit.
    rc::prop("the retries in each window are allowed",
             []
             {
                 auto const seed = *rc::gen::arbitrary<std::uint64_t>();
                 auto const count = *rc::gen::inRange<std::size_t>(1, 20);
                 auto const restart_interval = *rc::gen::inRange<std::uint64_t>(5, 200);
                 failing_system system(seed, count);
                 for (int i = 0; i < 1'500; ++i)
                 {
                     system.call(static_cast<std::uint32_t>(count));
                     if (system.random.below(restart_interval) == 0)
                         system.restart(system.random.below(count));
                     RC_ASSERT(system.excess() <= 0);
                 }
             });
}
