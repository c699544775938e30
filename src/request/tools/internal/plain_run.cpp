#include "plain_run.hpp"

#include <algorithm>
#include <cmath>

namespace lagoonladder::study
{

namespace
{

constexpr duration run_time = seconds(60);
/// Time without samples, until the endpoints get their full share.
constexpr duration warm_up = seconds(15);
constexpr std::size_t endpoint_count = 4;
constexpr std::size_t slot_count = 6;
constexpr double min_work_seconds = 0.03;
constexpr double max_work_seconds = 0.06;

} // namespace

plain_run::plain_run(plain_scenario const& conditions, std::uint64_t seed)
    : scenario(conditions)
    , random(seed)
    , entries(conditions.entries)
{
    for (std::size_t i = 0; i < endpoint_count; ++i)
    {
        endpoint added;
        added.id = endpoint_id("e" + std::to_string(i));
        added.slots.resize(slot_count);
        auto const spread = conditions.max_speed - conditions.min_speed;
        added.differences.constant_factor =
            1 / (conditions.min_speed + spread * this->random.unit());
        added.differences.slow_fraction = conditions.slow_fraction;
        added.differences.seed = seed * 1'009 + i;
        this->endpoints.push_back(std::move(added));
    }
}

std::size_t plain_run::open_calls(time_point when, std::size_t at) const
{
    return static_cast<std::size_t>(std::count_if(
        this->answers.begin(), this->answers.end(),
        [&](answer const& other) { return other.endpoint == at && other.arrives > when; }));
}

void plain_run::deliver_answers()
{
    auto const is_late = [&](answer const& item) { return item.arrives > this->now; };
    auto const arrived = std::partition(this->answers.begin(), this->answers.end(), is_late);
    std::vector<answer> const delivered(arrived, this->answers.end());
    this->answers.erase(arrived, this->answers.end());
    for (auto const& item : delivered)
        this->deliver(item);
}

void plain_run::deliver(answer const& arrived)
{
    auto& entry = this->entries[arrived.entry];
    auto const& from = this->endpoints[arrived.endpoint];
    auto const open = this->open_calls(arrived.arrives, arrived.endpoint);
    entry.loads.report(arrived.arrives, from.id, ++this->reports, static_cast<std::uint32_t>(open),
                       0);
    if (this->scenario.is_time_stated)
        entry.speeds.stated(arrived.arrives, from.id,
                            from.differences.variable_factor(arrived.arrives));
    entry.loads.completed(arrived.arrives, from.id);
    request::route_outcome outcome;
    outcome.elapsed = arrived.arrives - arrived.sent_at;
    entry.policy.record(arrived.arrives, from.id, outcome);
}

void plain_run::send(std::size_t entry)
{
    auto& state = this->entries[entry];
    std::vector<request::route_candidate> candidates;
    for (auto const& target : this->endpoints)
    {
        request::route_candidate candidate;
        candidate.endpoint_id = target.id;
        candidate.slots = slot_count;
        candidate.load = state.loads.estimate(this->now, target.id);
        candidate.time_deviation = state.speeds.deviation(this->now, target.id);
        candidates.push_back(candidate);
    }
    auto const chosen = state.policy.choose(this->now, candidates, {}, this->random);
    auto const index = std::stoul(chosen->value().substr(1));
    auto& target = this->endpoints[index];
    state.loads.dispatched(this->now, target.id);
    auto const slot = std::min_element(target.slots.begin(), target.slots.end());
    auto const work =
        min_work_seconds + (max_work_seconds - min_work_seconds) * this->random.unit();
    *slot = target.differences.end_of_work(std::max(*slot, this->now), from_seconds(work));
    this->answers.push_back({*slot, this->now, entry, index});
    if (this->now >= time_point(warm_up))
        this->result.add(to_seconds(*slot - this->now));
}

sample_set plain_run::run()
{
    while (this->now < time_point(run_time))
    {
        this->now +=
            from_seconds(-std::log(1 - this->random.unit()) / this->scenario.calls_per_second);
        this->deliver_answers();
        this->send(this->random.below(this->entries.size()));
    }
    return this->result;
}

} // namespace lagoonladder::study
