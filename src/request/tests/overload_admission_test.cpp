#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include <catch2/catch.hpp>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;
using namespace lagoonladder::request;

namespace
{

struct kind
{
    route_name route;
    std::uint32_t priority = 0;
    duration objective{};
    double share = 0;
};

std::vector<kind> const kinds{{route_name("quick"), 0, milliseconds(500), 0.3},
                              {route_name("usual"), 1, seconds(1), 0.4},
                              {route_name("draft"), 3, seconds(5), 0.3}};
constexpr std::size_t account_count = 16;
constexpr std::size_t engine_count = 40;
constexpr double slots = 16;
constexpr duration call_time = seconds(2);
constexpr double capacity = engine_count * slots / 2;
constexpr duration time_left = seconds(10);
constexpr duration report_interval = milliseconds(500);

struct load_schedule
{
    std::size_t entries = 25;
    /// Calls per second at each time, as a multiple of what all engines serve.
    std::function<double(double)> demand = [](double) { return 0.8; };
    /// Multiple of the demand of the first account.
    std::function<double(double)> first_account = [](double) { return 1.0; };
    /// Engines that fail at second 20.
    std::size_t lost_engines = 0;
};

struct outcome_count
{
    double called = 0;
    double served = 0;
    /// First event within twice the objective.
    double in_time = 0;

    double served_share() const { return this->served / std::max(1.0, this->called); }
    double in_time_share() const { return this->in_time / std::max(1.0, this->served); }
};

struct model_result
{
    std::vector<outcome_count> by_kind = std::vector<outcome_count>(kinds.size());
    std::vector<outcome_count> by_account = std::vector<outcome_count>(account_count);
    outcome_count all;
    double refusals = 0;
    /// Calls that were refused again when they came back.
    double refused_again = 0;
    /// Refusals while under half of the slots were taken and nothing waited.
    double needless = 0;
};

/// Engines that honour priorities, entries that decide by reports up to a second old, and callers
/// that come back once, at another entry.
class overload_model
{
public:
    overload_model(std::uint64_t seed, load_schedule const& wanted)
        : random(seed)
        , schedule(wanted)
        , entries(wanted.entries)
        , engines(engine_count)
        , reported(engine_count)
    {
        for (auto& own : this->entries)
            own.sent.resize(engine_count);
    }

    model_result run()
    {
        for (; this->now < time_point(seconds(60)); this->now += milliseconds(5))
            this->step();
        return this->result;
    }

private:
    struct call
    {
        std::size_t kind_index = 0;
        std::size_t account = 0;
        time_point arrived{};
        bool is_repeated = false;
    };

    struct engine
    {
        std::multiset<time_point> ends;
        std::multimap<std::uint32_t, call> waiting;
        bool is_lost = false;

        double load() const
        {
            return static_cast<double>(this->ends.size() + this->waiting.size());
        }
    };

    struct entry
    {
        overload_admission admission;
        /// Calls sent to each engine since the last report.
        std::vector<double> sent;
    };

    double seconds_now() const { return to_seconds(this->now.time_since_epoch()); }

    void step()
    {
        if (this->now.time_since_epoch() % report_interval == duration(0))
            this->report();
        for (std::size_t i = 0; i < this->schedule.lost_engines && this->seconds_now() >= 20; ++i)
            this->engines[i].is_lost = true;
        this->add_calls();
        while (!this->returning.empty() && this->returning.begin()->first <= this->now)
            this->handle(this->returning.extract(this->returning.begin()).mapped());
        for (auto& machine : this->engines)
            this->advance(machine);
    }

    /// Publishes the loads of half a second ago.
    void report()
    {
        std::vector<double> loads;
        for (auto const& machine : this->engines)
            loads.push_back(machine.load());
        this->reported = std::exchange(this->measured, loads);
        this->reported.resize(engine_count);
        for (auto& own : this->entries)
            std::fill(own.sent.begin(), own.sent.end(), 0);
    }

    void add_calls()
    {
        auto const first_weight = this->schedule.first_account(this->seconds_now());
        auto const weight = (account_count - 1 + first_weight) / account_count;
        this->pending += this->schedule.demand(this->seconds_now()) * weight * capacity * 0.005;
        for (; this->pending >= 1; this->pending -= 1)
        {
            call next{this->draw_kind(), this->draw_account(first_weight), this->now, false};
            ++this->result.all.called;
            ++this->result.by_kind[next.kind_index].called;
            ++this->result.by_account[next.account].called;
            this->handle(next);
        }
    }

    std::size_t draw_kind()
    {
        auto position = this->random.unit();
        std::size_t index = 0;
        for (; index + 1 < kinds.size() && position >= kinds[index].share; ++index)
            position -= kinds[index].share;
        return index;
    }

    std::size_t draw_account(double first_weight)
    {
        auto const position = this->random.unit() * (account_count - 1 + first_weight);
        return position < first_weight ? 0 : 1 + static_cast<std::size_t>(position - first_weight);
    }

    double estimate(entry const& own, std::size_t index) const
    {
        return this->reported[index] + own.sent[index];
    }

    service_load load_at(entry const& own) const
    {
        service_load load;
        std::vector<double> waits;
        for (std::size_t i = 0; i < engine_count; ++i)
        {
            if (this->engines[i].is_lost)
                continue;
            auto const taken = this->estimate(own, i);
            load.slots += slots;
            load.running += std::min(slots, taken);
            load.waiting += std::max(0.0, taken - slots);
            waits.push_back(std::max(0.0, taken + 1 - slots) * to_seconds(call_time) / slots);
        }
        std::sort(waits.begin(), waits.end());
        load.wait = from_seconds(waits[(waits.size() - 1) / 4]);
        return load;
    }

    void handle(call const& next)
    {
        auto& own = this->entries[this->random.below(this->entries.size())];
        overload_query query;
        query.account = account_id(std::to_string(next.account));
        query.route = kinds[next.kind_index].route;
        query.priority = kinds[next.kind_index].priority;
        query.latency_objective = kinds[next.kind_index].objective;
        query.time_left = next.arrived + time_left - this->now;
        query.load = this->load_at(own);
        query.first_event = query.load.wait;
        auto const decision = own.admission.decide(this->now, query, this->random);
        if (!decision.is_refused())
            return this->send(own, next);
        ++this->result.refusals;
        bool const is_idle = query.load.running < query.load.slots / 2 && query.load.waiting == 0;
        this->result.needless += is_idle ? 1 : 0;
        this->result.refused_again += next.is_repeated ? 1 : 0;
        CHECK(decision.retry_after <= query.time_left / 3);
        if (next.is_repeated)
            return;
        auto repeated = next;
        repeated.is_repeated = true;
        this->returning.emplace(this->now + decision.retry_after, repeated);
    }

    void send(entry& own, call const& next)
    {
        auto first = this->random.below(engine_count);
        auto const second = this->random.below(engine_count);
        bool const is_second_better = this->estimate(own, second) < this->estimate(own, first) ||
                                      this->engines[first].is_lost;
        if (is_second_better && !this->engines[second].is_lost)
            first = second;
        while (this->engines[first].is_lost)
            first = this->random.below(engine_count);
        own.sent[first] += 1;
        this->engines[first].waiting.emplace(kinds[next.kind_index].priority, next);
    }

    void advance(engine& machine)
    {
        machine.ends.erase(machine.ends.begin(), machine.ends.upper_bound(this->now));
        while (!machine.waiting.empty() && static_cast<double>(machine.ends.size()) < slots)
        {
            auto const next = machine.waiting.extract(machine.waiting.begin()).mapped();
            if (this->now > next.arrived + time_left || machine.is_lost)
                continue;
            auto const length = to_seconds(call_time) * (0.5 + this->random.unit());
            machine.ends.insert(this->now + from_seconds(length));
            this->record(next);
        }
    }

    void record(call const& next)
    {
        bool const is_in_time = this->now - next.arrived <= 2 * kinds[next.kind_index].objective;
        for (auto* count : {&this->result.all, &this->result.by_kind[next.kind_index],
                            &this->result.by_account[next.account]})
        {
            ++count->served;
            count->in_time += is_in_time ? 1 : 0;
        }
    }

    seeded_random random;
    load_schedule schedule;
    std::vector<entry> entries;
    std::vector<engine> engines;
    std::vector<double> reported;
    std::vector<double> measured;
    std::multimap<time_point, call> returning;
    double pending = 0;
    time_point now{};
    model_result result;
};

/// Checks what must hold under every load.
void check_order(model_result const& result)
{
    for (std::size_t i = 1; i < kinds.size(); ++i)
        CHECK(result.by_kind[i - 1].served_share() >= result.by_kind[i].served_share());
    for (auto const& account : result.by_account)
        CHECK(account.served_share() >= 0.25 * result.all.served_share());
    CHECK(result.needless == 0);
}

std::vector<std::size_t> const entry_counts{25, 90};

} // namespace

TEST_CASE("no call is refused while the engines have room")
{
    // Guards against refusals that only the uneven arrival of calls at the entries causes.
    for (auto const entries : entry_counts)
    {
        load_schedule load;
        load.entries = entries;
        auto const result = overload_model(entries, load).run();
        CHECK(result.refusals <= 0.002 * result.all.called);
        check_order(result);
    }
}

TEST_CASE("while demand rises above the capacity, urgent calls are served first")
{
    // Guards against engines whose queues make every kind of call late, and against refusals that
    // leave engines idle.
    for (auto const entries : entry_counts)
    {
        load_schedule load;
        load.entries = entries;
        load.demand = [](double time) { return 0.6 + time / 60; };
        auto const result = overload_model(entries, load).run();
        check_order(result);
        CHECK(result.by_kind[0].served_share() >= 0.95);
        CHECK(result.by_kind[0].in_time_share() >= 0.95);
        CHECK(result.all.served >= 0.85 * 60 * capacity);
    }
}

TEST_CASE("an account at 7.5 times its demand takes little from the others")
{
    // Guards against one account that displaces the calls of all others.
    for (auto const entries : entry_counts)
    {
        load_schedule load;
        load.entries = entries;
        load.demand = [](double) { return 0.85; };
        load.first_account = [](double time) { return time > 10 ? 7.5 : 1; };
        auto const result = overload_model(entries, load).run();
        check_order(result);
        for (std::size_t i = 1; i < account_count; ++i)
            CHECK(result.by_account[i].served_share() >= 0.9);
        CHECK(result.all.served >= 0.9 * 60 * capacity);
    }
}

TEST_CASE("bursts and the loss of a fifth of the engines leave no lasting queues")
{
    // Guards against queues that remain when the burst is over, and against callers that return in
    // synchrony and are refused again.
    for (auto const entries : entry_counts)
    {
        load_schedule bursts;
        bursts.entries = entries;
        bursts.demand = [](double time)
        { return static_cast<int>(time) % 20 >= 10 ? 0.8 * 1.7 : 0.8; };
        load_schedule loss;
        loss.entries = entries;
        loss.demand = [](double) { return 0.9; };
        loss.lost_engines = engine_count / 5;
        for (auto const& load : {bursts, loss})
        {
            auto const result = overload_model(entries, load).run();
            check_order(result);
            CHECK(result.by_kind[0].served_share() >= 0.95);
            CHECK(result.by_kind[0].in_time_share() >= 0.95);
            CHECK(result.refused_again <= 0.5 * result.refusals);
        }
    }
}
