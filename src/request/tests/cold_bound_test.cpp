#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using request::cold_bound;
using request::endpoint_statement;

namespace
{

constexpr time_point start{seconds(100)};
constexpr request::cold_tolerance tolerance{1.5, 5};
request::cold_limit const limit{6.6, seconds(3)};
/// Requests that a cold endpoint may get in a second.
constexpr std::size_t max_requests = 14;
endpoint_id const engine("e1");

endpoint_statement make_row(std::uint64_t sequence, std::optional<duration> cold_remaining,
                            std::uint64_t incarnation_number = 1)
{
    return {engine, incarnation(incarnation_number), sequence, cold_remaining};
}

/// Entries that send a request to one cold endpoint as soon as their bound allows one.
class eager_entries
{
public:
    explicit eager_entries(std::size_t count, duration process_age = seconds(60))
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            this->ids.emplace_back("entry-" + std::to_string(i));
            this->bounds.emplace_back(tolerance, start - process_age);
        }
        this->connect(0, count);
    }

    /// The entries from `first` to `last` know each other and no others.
    void connect(std::size_t first, std::size_t last)
    {
        std::vector<vm_id> const group(this->ids.begin() + static_cast<std::ptrdiff_t>(first),
                                       this->ids.begin() + static_cast<std::ptrdiff_t>(last));
        for (std::size_t i = first; i < last; ++i)
            this->bounds[i].set_entries(group, this->ids[i], true);
    }

    /// Runs until `end`. The endpoint is cold from its start for `cold_time` and states that every
    /// 1.2 s; each entry receives each statement up to `max_delay` late.
    void run(duration end, duration max_delay)
    {
        constexpr duration cold_time = seconds(20);
        constexpr duration step = milliseconds(5);
        constexpr duration heartbeat_interval = milliseconds(1200);
        for (; this->elapsed < end; this->elapsed += step)
        {
            for (std::size_t i = 0; i < this->bounds.size(); ++i)
            {
                auto const now = start + this->elapsed;
                auto const delay = microseconds(
                    static_cast<std::int64_t>(stable_hash(this->ids[i].value(), 3) %
                                              static_cast<std::uint64_t>(max_delay.count() + 1)));
                if (this->elapsed < delay)
                    continue;
                auto const beats = (this->elapsed - delay) / heartbeat_interval;
                auto const remaining = cold_time - beats * heartbeat_interval;
                this->bounds[i].observe(now, limit,
                                        make_row(static_cast<std::uint64_t>(beats) + 1, remaining));
                if (this->bounds[i].time_until_room(now, engine) > duration::zero())
                    continue;
                this->bounds[i].record_start(now, engine);
                this->sent.push_back(now);
            }
        }
    }

    /// Returns the most requests in any second.
    std::size_t peak() const
    {
        std::size_t most = 0;
        for (auto first = this->sent.begin(); first != this->sent.end(); ++first)
        {
            auto const last = std::lower_bound(first, this->sent.end(), *first + seconds(1));
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    std::vector<vm_id> ids;
    std::vector<cold_bound> bounds;
    std::vector<time_point> sent;
    duration elapsed{};
};

} // namespace

TEST_CASE("all entries together stay within the bound of a cold endpoint and use its rate")
{
    // Guards against an endpoint that crashes because each entry sends what it alone may send, and
    // against one that gets nearly nothing because each entry has an equal part.
    for (std::size_t const count : {1U, 2U, 4U, 25U, 90U})
    {
        INFO(count);
        for (duration const max_delay : {duration(0), duration(seconds(2))})
        {
            eager_entries entries(count);
            entries.run(seconds(20), max_delay);
            CHECK(entries.peak() <= max_requests / 2);
            CHECK(entries.sent.size() >= 6 * (20 - 4));
        }
    }
}

TEST_CASE("the bound of a cold endpoint holds while entries are separated and when they meet")
{
    // Guards against both sides of a partition using the whole tolerance, and against portions
    // that are released at once when the sides meet.
    for (std::size_t const count : {2U, 4U, 25U, 90U})
    {
        INFO(count);
        eager_entries entries(count);
        entries.run(seconds(6), seconds(2));
        entries.connect(0, count / 2);
        entries.run(seconds(9), seconds(2));
        entries.connect(count / 2, count);
        entries.run(seconds(12), seconds(2));
        entries.connect(0, count);
        entries.run(seconds(18), seconds(2));
        CHECK(entries.peak() <= max_requests);
    }
}

TEST_CASE("entries that have just started send nothing to a cold endpoint")
{
    // Guards against a restart of all entries, each of which knows no other one at first.
    eager_entries entries(25, seconds(0));
    for (std::size_t i = 0; i < 25; ++i)
        entries.connect(i, i + 1);
    entries.run(cold_bound::settle_time, seconds(0));
    CHECK(entries.sent.empty());
    entries.connect(0, 25);
    entries.run(seconds(10), seconds(0));
    CHECK(entries.peak() <= max_requests / 2);
    CHECK(entries.sent.size() > 30);
}

TEST_CASE("an entry that the others may count as dead sends nothing to a cold endpoint")
{
    // Guards against many small sides of a partition that each have holders.
    eager_entries entries(1);
    entries.bounds[0].set_entries(entries.ids, entries.ids[0], false);
    entries.run(seconds(5), seconds(0));
    CHECK(entries.sent.empty());
}

TEST_CASE("portions of a small rate stay within the tolerance or are empty")
{
    // Guards against one request of each holder that together exceed a small tolerance.
    for (double const rate : {0.2, 1.0, 3.0, 6.6, 40.0, 500.0})
    {
        for (double const slack : {0.0, 1.0, 5.0})
        {
            for (std::size_t const count : {1U, 3U, 8U, 90U})
            {
                auto const planned = request::plan_cold_portions(rate, {1.5, slack}, count);
                auto const holders = static_cast<double>(planned.holders);
                if (planned.holders == 0)
                {
                    CHECK(rate * 1.5 + slack < 2);
                    continue;
                }
                auto const interval = to_seconds(planned.interval);
                CHECK(2 * holders * std::ceil(1 / interval) <= rate * 1.5 + slack);
                CHECK(holders / interval <= rate * 1.0001);
            }
        }
    }
}

TEST_CASE("a state that is unknown counts as cold until a later statement")
{
    // Guards against a flood at an endpoint that has started, returned or become cold unseen.
    std::vector<vm_id> const serving{vm_id("a")};
    auto const is_cold_at = [&](auto const& change)
    {
        cold_bound bound(tolerance, start - seconds(60));
        bound.set_entries(serving, serving[0], true);
        bound.begin_round();
        bound.observe(start, limit, make_row(5, seconds(0)));
        CHECK_FALSE(bound.is_cold(start, engine));
        change(bound);
        return bound.is_cold(start + milliseconds(2900), engine);
    };
    CHECK_FALSE(is_cold_at([](auto&) {}));
    CHECK(is_cold_at([](auto& b) { b.observe(start, limit, make_row(1, std::nullopt, 2)); }));
    CHECK_FALSE(is_cold_at([](auto& b) { b.observe(start, limit, make_row(1, seconds(0), 2)); }));
    auto const return_with = [](std::optional<duration> remaining)
    {
        return [remaining](cold_bound& b)
        {
            b.begin_round();
            b.begin_round();
            b.observe(start, limit, make_row(9, remaining));
        };
    };
    CHECK(is_cold_at(return_with(std::nullopt)));
    CHECK_FALSE(is_cold_at(return_with(seconds(0))));
    // A row that was under way when an evacuation ended says nothing; one that was sent later does.
    auto const end_evacuation = [](duration row_delay)
    {
        return [row_delay](cold_bound& b)
        {
            b.restart(start, engine);
            b.observe(start + row_delay, limit, make_row(6, seconds(0)));
        };
    };
    CHECK(is_cold_at(end_evacuation(seconds(1))));
    CHECK_FALSE(is_cold_at(end_evacuation(milliseconds(2100))));
    // The answer is newer than the row that arrives after it.
    CHECK(is_cold_at(
        [](auto& b)
        {
            b.record_answer(start, engine, seconds(3));
            b.observe(start + seconds(1), limit, make_row(6, seconds(0)));
        }));
}
