#ifndef LAGOONLADDER_REQUEST_TESTS_OVERLOAD_REPLAY_HPP
#define LAGOONLADDER_REQUEST_TESTS_OVERLOAD_REPLAY_HPP

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <lagoonladder/request.hpp>

namespace overload_model
{

using namespace lagoonladder;
using namespace lagoonladder::request;

struct kind
{
    char const* route = "";
    std::uint32_t priority = 0;
    duration objective{};
    double share = 0;
};

inline std::vector<kind> const kinds{{"chat", 1, milliseconds(800), 0.5},
                                     {"agent", 2, milliseconds(1'500), 0.3},
                                     {"complete", 3, milliseconds(500), 0.2}};
inline constexpr std::size_t account_count = 16;
inline constexpr std::size_t engine_count = 60;
inline constexpr double slots = 64;
inline constexpr double tokens_per_second = 56'000;
/// The engines' speeds are this multiple of `tokens_per_second`, and uniform in between.
inline constexpr double min_speed = 0.55;
inline constexpr double max_speed = 1.2;
/// Uncached tokens of a prompt are uniform from 0 to twice this number.
inline constexpr double mean_uncached = 4'200;
/// Time in a slot after the first event, at half of the slots taken.
inline constexpr double mean_decode_seconds = 3;
/// Calls per second at which the engines prefill all the time.
inline constexpr double capacity =
    engine_count * tokens_per_second * (min_speed + max_speed) / 2 / mean_uncached;
inline constexpr duration time_left = seconds(10);
inline constexpr duration step_time = milliseconds(5);
inline constexpr duration run_time = seconds(50);
/// An entry gets a report of all engines at this interval. It is as old when it arrives.
inline constexpr duration report_interval = milliseconds(600);
/// Interval at which an entry sums up the load.
inline constexpr duration load_interval = milliseconds(50);

struct load_pattern
{
    char const* name = "";
    /// Multiples of the usual demand of all accounts, and of the first account, and fraction of the
    /// engines that is lost, from second 15 to `end`.
    double demand = 1;
    double first_account = 1;
    double lost = 0;
    double end = 35;
    /// Usual demand as a fraction of the capacity.
    double usual = 0.8;
};

inline std::vector<load_pattern> const patterns{
    {"burst of 1.7", 1.7, 1, 0, 35},       {"account at 7.5", 1, 7.5, 0, 35},
    {"a fifth lost", 1, 1, 0.2, 25},       {"burst, busy", 1.7, 1, 0, 35, 0.9},
    {"account, busy", 1, 7.5, 0, 35, 0.9}, {"fifth lost, busy", 1, 1, 0.2, 25, 0.9}};
inline std::vector<std::size_t> const entry_counts{25, 90};

struct call_counts
{
    double called = 0;
    double in_time = 0;
    double late = 0;
    double refused = 0;
    /// Times to retry after, in seconds, and their number.
    double retry_seconds = 0;
    double retries = 0;

    double served_share() const { return (this->in_time + this->late) / std::max(1.0, called); }
};

struct replay_result
{
    call_counts all;
    std::vector<call_counts> by_kind = std::vector<call_counts>(kinds.size());
    std::vector<call_counts> by_account = std::vector<call_counts>(account_count);
    /// Refusals while the deciding entry knew of free slots and nothing that waits.
    int needless = 0;
    int retry_too_late = 0;
};

/// Engines that prefill one prompt at a time, urgent ones first; entries that decide by reports
/// that are 0.6 to 1.2 s old; and callers that come back once.
class overload_replay
{
public:
    overload_replay(std::uint64_t seed, load_pattern const& replayed, std::size_t entry_number,
                    bool is_admission_on)
        : random(seed)
        , arrivals(seed + 1'000)
        , decisions(seed + 2'000)
        , pattern(replayed)
        , is_on(is_admission_on)
        , entries(entry_number)
        , engines(engine_count)
    {
        for (auto& machine : this->engines)
            machine.speed =
                tokens_per_second * (min_speed + (max_speed - min_speed) * this->random.unit());
        for (auto& own : this->entries)
            own.next_report =
                time_point(from_seconds(to_seconds(report_interval) * this->random.unit()));
    }

    replay_result run()
    {
        for (; this->now < time_point(run_time + time_left); this->now += step_time)
            this->step();
        return this->result;
    }

private:
    struct call
    {
        std::size_t kind_index = 0;
        std::size_t account = 0;
        double tokens = 0;
        time_point arrived{};
        /// Random choices for the call, from 0 to 1, drawn when it arrives. A refused call thus has
        /// no effect on the choices for others, which would hide small differences.
        double entry = 0;
        std::array<double, 2> engines{};
        double decode = 0;
        bool is_repeated = false;
    };

    struct engine_report
    {
        double running = 0;
        double waiting = 0;
        /// Time until the waiting prompts are prefilled.
        double backlog = 0;
    };

    struct engine
    {
        double speed = 0;
        std::multimap<std::uint32_t, call> waiting;
        std::multiset<time_point> ends;
        time_point prefill_end{};
        bool is_lost = false;
    };

    struct entry
    {
        overload_admission admission;
        std::vector<engine_report> reports = std::vector<engine_report>(engine_count);
        time_point next_report{};
        /// What this entry sent to each engine since its last report.
        std::vector<engine_report> sent = std::vector<engine_report>(engine_count);
        service_load load;
        time_point load_updated{};
    };

    bool is_disturbed() const
    {
        auto const second = to_seconds(this->now.time_since_epoch());
        return second >= 15 && second < this->pattern.end;
    }

    void step()
    {
        this->update_lost();
        this->history.emplace(this->now, this->measure());
        this->history.erase(this->history.begin(),
                            this->history.lower_bound(this->now - report_interval));
        for (auto& own : this->entries)
            this->receive_report(own);
        if (this->now < time_point(run_time))
            this->add_calls();
        while (!this->returning.empty() && this->returning.begin()->first <= this->now)
            this->handle(this->returning.extract(this->returning.begin()).mapped());
        for (auto& machine : this->engines)
            this->advance(machine);
    }

    void update_lost()
    {
        auto const lost = this->is_disturbed() ? this->pattern.lost * engine_count : 0;
        for (std::size_t i = 0; i < engine_count; ++i)
        {
            auto& machine = this->engines[i];
            machine.is_lost = static_cast<double>(i) < lost;
            if (!machine.is_lost)
                continue;
            machine.ends.clear();
            // Their entries send the calls elsewhere.
            for (auto const& [priority, waiting] : std::exchange(machine.waiting, {}))
                this->send(this->entry_of(waiting), waiting);
        }
    }

    std::vector<engine_report> measure() const
    {
        std::vector<engine_report> reports;
        for (auto const& machine : this->engines)
        {
            double tokens = 0;
            for (auto const& [priority, waiting] : machine.waiting)
                tokens += waiting.tokens;
            auto const rest = to_seconds(std::max(duration(0), machine.prefill_end - this->now));
            reports.push_back({static_cast<double>(machine.ends.size()),
                               static_cast<double>(machine.waiting.size()),
                               tokens / machine.speed + rest});
        }
        return reports;
    }

    void receive_report(entry& own)
    {
        if (this->now < own.next_report)
            return;
        own.next_report += report_interval;
        own.reports = this->history.begin()->second;
        std::fill(own.sent.begin(), own.sent.end(), engine_report());
    }

    void add_calls()
    {
        auto const demand = this->is_disturbed() ? this->pattern.demand : 1;
        auto const first = this->is_disturbed() ? this->pattern.first_account : 1;
        auto const weight = (account_count - 1 + first) / account_count;
        this->pending += this->pattern.usual * demand * weight * capacity * to_seconds(step_time);
        for (; this->pending >= 1; this->pending -= 1)
        {
            call next;
            next.kind_index = this->draw_kind();
            next.account = this->draw_account(first);
            next.tokens = 2 * mean_uncached * this->arrivals.unit();
            next.arrived = this->now;
            next.entry = this->arrivals.unit();
            next.engines = {this->arrivals.unit(), this->arrivals.unit()};
            next.decode = this->arrivals.unit();
            this->count(next, &call_counts::called);
            this->handle(next);
        }
    }

    std::size_t draw_kind()
    {
        auto position = this->arrivals.unit();
        std::size_t index = 0;
        for (; index + 1 < kinds.size() && position >= kinds[index].share; ++index)
            position -= kinds[index].share;
        return index;
    }

    std::size_t draw_account(double first)
    {
        auto const position = this->arrivals.unit() * (account_count - 1 + first);
        return position < first ? 0 : 1 + static_cast<std::size_t>(position - first);
    }

    void count(call const& counted, double call_counts::*member)
    {
        this->result.all.*member += 1;
        this->result.by_kind[counted.kind_index].*member += 1;
        this->result.by_account[counted.account].*member += 1;
    }

    void update_load(entry& own) const
    {
        if (this->now < own.load_updated + load_interval)
            return;
        own.load_updated = this->now;
        own.load = {};
        std::vector<double> waits;
        for (std::size_t i = 0; i < engine_count; ++i)
        {
            if (this->engines[i].is_lost)
                continue;
            auto const& report = own.reports[i];
            auto const taken = report.running + report.waiting + own.sent[i].running;
            auto const ahead = std::max(report.waiting, taken + 1 - slots);
            own.load.slots += slots;
            own.load.running += std::min(slots, taken);
            own.load.waiting += std::max(report.waiting, taken - slots);
            waits.push_back(std::max(report.backlog + own.sent[i].backlog,
                                     mean_decode_seconds * std::max(0.0, ahead) / slots));
        }
        std::sort(waits.begin(), waits.end());
        own.load.wait = from_seconds(waits[(waits.size() - 1) / 4]);
    }

    void handle(call const& next)
    {
        auto& own = this->entry_of(next);
        if (!this->is_on)
            return this->send(own, next);
        this->update_load(own);
        overload_query query;
        query.account = account_id(std::to_string(next.account));
        query.route = route_name(kinds[next.kind_index].route);
        query.priority = kinds[next.kind_index].priority;
        query.latency_objective = kinds[next.kind_index].objective;
        query.time_left = next.arrived + time_left - this->now;
        query.load = own.load;
        query.first_event = own.load.wait + from_seconds(next.tokens / tokens_per_second);
        auto const decision = own.admission.decide(this->now, query, this->decisions);
        if (!decision.is_refused())
            return this->send(own, next);
        bool const is_idle = own.load.running < own.load.slots / 2 && own.load.waiting <= 0;
        this->result.needless += is_idle ? 1 : 0;
        this->result.retry_too_late += decision.retry_after > query.time_left / 3 ? 1 : 0;
        if (next.is_repeated)
            return this->count(next, &call_counts::refused);
        auto& own_kind = this->result.by_kind[next.kind_index];
        own_kind.retry_seconds += to_seconds(decision.retry_after);
        ++own_kind.retries;
        auto repeated = next;
        repeated.is_repeated = true;
        this->returning.emplace(this->now + decision.retry_after, repeated);
    }

    /// A repeated call comes to another entry.
    entry& entry_of(call const& next)
    {
        auto const size = this->entries.size();
        auto const index = static_cast<std::size_t>(next.entry * static_cast<double>(size));
        return this->entries[(index + (next.is_repeated ? size / 2 : 0)) % size];
    }

    std::size_t usable_engine(double position) const
    {
        auto index = static_cast<std::size_t>(position * engine_count);
        // Spreads the calls of lost engines, which come first, over all others.
        while (this->engines[index].is_lost)
            index = (index * 7 + engine_count / 3) % engine_count;
        return index;
    }

    /// Sends to the better of two engines, by what the entry knows.
    void send(entry& own, call const& next)
    {
        auto const first = this->usable_engine(next.engines[0]);
        auto const second = this->usable_engine(next.engines[1]);
        auto const backlog = [&](std::size_t index)
        { return own.reports[index].backlog + own.sent[index].backlog; };
        auto const chosen = backlog(second) < backlog(first) ? second : first;
        own.sent[chosen].running += 1;
        own.sent[chosen].backlog += next.tokens / this->engines[chosen].speed;
        this->engines[chosen].waiting.emplace(kinds[next.kind_index].priority, next);
    }

    void advance(engine& machine)
    {
        machine.ends.erase(machine.ends.begin(), machine.ends.upper_bound(this->now));
        while (!machine.waiting.empty() && machine.prefill_end <= this->now &&
               static_cast<double>(machine.ends.size()) < slots)
        {
            auto const next = machine.waiting.extract(machine.waiting.begin()).mapped();
            if (this->now > next.arrived + time_left)
            {
                this->count(next, &call_counts::late);
                continue;
            }
            machine.prefill_end = std::max(machine.prefill_end, this->now - step_time) +
                                  from_seconds(next.tokens / machine.speed);
            auto const slowness = 0.5 + static_cast<double>(machine.ends.size()) / slots;
            auto const decode = 2 * mean_decode_seconds * next.decode * slowness;
            machine.ends.insert(machine.prefill_end + from_seconds(decode));
            bool const is_in_time =
                machine.prefill_end - next.arrived <= kinds[next.kind_index].objective;
            this->count(next, is_in_time ? &call_counts::in_time : &call_counts::late);
        }
    }

    seeded_random random;
    /// Apart, so that the calls are the same with the admission off and on.
    seeded_random arrivals;
    seeded_random decisions;
    load_pattern pattern;
    bool is_on;
    std::vector<entry> entries;
    std::vector<engine> engines;
    std::map<time_point, std::vector<engine_report>> history;
    std::multimap<time_point, call> returning;
    double pending = 0;
    time_point now{};
    replay_result result;
};

} // namespace overload_model

#endif
