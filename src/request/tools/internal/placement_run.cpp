#include "placement_run.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

#include <lagoonladder/request/engine_work_counter.hpp>

namespace lagoonladder::study
{

namespace
{

constexpr duration run_time = seconds(60);
constexpr duration fault_time = seconds(20);
/// First-token objective of the long prompts.
constexpr duration long_prompt_objective = seconds(1);
/// First-token objective of docs/CAPACITY.md for 95 prompts in 100.
constexpr duration all_prompts_objective = milliseconds(630);
constexpr duration restart_time = seconds(5);
/// Factor of the prefill time of a slow engine.
constexpr double slow_factor = 5;
/// Time during which caches are filled and speeds learned, without samples of the delays.
constexpr duration uneven_warm_up = seconds(20);

/// Sizes are in tokens; a spread is the standard deviation of the logarithm of a size.
struct prompt_kind
{
    /// Relative frequency of the prompts.
    double weight = 0;
    double shared_mean = 0;
    double shared_spread = 0;
    double max_shared = 0;
    /// Number of shared parts.
    std::uint64_t subjects = 0;
    double own_mean = 0;
    double own_spread = 0;
    double max_own = 0;
};

/// bylaw-brief, pitch-draft and kerb-query of the Permits Office.
constexpr prompt_kind kinds[] = {
    {12.9, 13'300, 0.7, 39'900, 73, 3'720, 1.1, 53'200},
    {9.3, 6'300, 0.6, 17'500, 35, 2'890, 1.0, 39'600},
    {15.6, 350, 0.6, 940, 132, 1'110, 1.0, 3'790},
};
constexpr double total_weight = 37.8;

endpoint_id id_of(std::size_t engine)
{
    return endpoint_id("e" + std::to_string(engine));
}

/// Options that the pass-through proxy uses for engines.
request::balanced_route_options engine_route_options()
{
    request::balanced_route_options options;
    options.ramp_up = seconds(1);
    options.ramp_start = 0.5;
    return options;
}

} // namespace

char const* to_string(placement policy)
{
    switch (policy)
    {
    case placement::by_shared_part:
        return "one engine for each shared part";
    case placement::two_choices:
        return "two choices by own requests";
    case placement::own_backlog:
        return "backlog of own prompts";
    case placement::shared_backlog:
        return "backlog of all prompts";
    case placement::partial_backlog:
        return "backlog with partial notices";
    case placement::stated_speed:
        return "and stated speeds";
    case placement::stated_speed_and_load:
        return "and running requests";
    }
    return "unknown";
}

placement_run::placement_run(placement_scenario const& conditions, placement chosen,
                             std::uint64_t seed)
    : scenario(conditions)
    , policy(chosen)
    , random(seed)
    , subjects_seed(seed)
    , engines(conditions.engines, engine_model(conditions.decoding))
    , is_lost(conditions.engines)
    , starts(conditions.engines, incarnation(1))
    , entries(conditions.entries)
{
    for (std::size_t i = 0; i < this->engines.size(); ++i)
        this->engines[i] = engine_model(conditions.decoding, this->draw_differences(i));
    for (auto& entry : this->entries)
    {
        entry.policy = request::balanced_route_policy(engine_route_options());
        entry.sent.resize(conditions.engines);
        request::prompt_backlog_options options;
        options.notice_receivers = conditions.receivers;
        entry.backlog = request::prompt_backlog(options);
        if (chosen >= placement::partial_backlog)
            entry.backlog.set_entry_count(conditions.entries);
    }
}

uneven_model placement_run::draw_differences(std::size_t engine)
{
    uneven_model differences;
    if (this->scenario.min_speed == this->scenario.max_speed && this->scenario.slow_fraction == 0)
        return differences;
    auto const spread = this->scenario.max_speed - this->scenario.min_speed;
    differences.constant_factor = 1 / (this->scenario.min_speed + spread * this->uniform());
    differences.slow_fraction = this->scenario.slow_fraction;
    differences.seed = this->subjects_seed * 1'009 + engine;
    return differences;
}

double placement_run::lognormal(double mean, double spread, double max_value)
{
    auto const normal = std::sqrt(-2 * std::log(1 - this->uniform())) *
                        std::cos(2 * std::numbers::pi * this->uniform());
    return std::min(max_value, mean * std::exp(spread * normal - spread * spread / 2));
}

request::prompt_parts placement_run::make_prompt(bool& is_long)
{
    auto position = this->uniform() * total_weight;
    std::size_t kind = 0;
    while (kind + 1 < std::size(kinds) && position >= kinds[kind].weight)
        position -= kinds[kind++].weight;
    is_long = kind == 0;
    auto const& sizes = kinds[kind];
    auto const subject =
        1 + kind * 1'000 + this->random.below(sizes.subjects * this->scenario.subject_factor);
    // The shared part of a subject has the same size in each of its prompts.
    seeded_random subject_random(this->subjects_seed * 7'919 + subject);
    std::swap(this->random, subject_random);
    auto const shared = this->lognormal(sizes.shared_mean, sizes.shared_spread, sizes.max_shared);
    std::swap(this->random, subject_random);
    auto const own = this->lognormal(sizes.own_mean, sizes.own_spread, sizes.max_own);
    return {{subject, static_cast<std::uint64_t>(shared)},
            {this->next_own_part++, static_cast<std::uint64_t>(own)}};
}

void placement_run::restart_engines()
{
    this->are_engines_restarted = true;
    for (std::size_t i = 0; i < this->scenario.restarted_engines; ++i)
    {
        this->is_lost[i] = false;
        this->starts[i] = incarnation(2);
        this->engines[i] = engine_model(this->scenario.decoding);
    }
}

void placement_run::inject_faults()
{
    if (!this->are_engines_restarted && this->now >= time_point(fault_time + restart_time))
        this->restart_engines();
    if (this->are_faults_injected || this->now < time_point(fault_time))
        return;
    this->are_faults_injected = true;
    for (std::size_t i = 0; i < this->scenario.lost_engines + this->scenario.restarted_engines; ++i)
        this->is_lost[i] = true;
    for (std::size_t i = 0; i < this->scenario.slow_engines; ++i)
        this->engines[i].slowness = slow_factor;
}

void placement_run::deliver_messages()
{
    for (; !this->notices.empty() && this->notices.front().arrives <= this->now;
         this->notices.pop_front())
    {
        auto const& notice = this->notices.front();
        auto const others = this->entries.size() - 1;
        auto const count = std::min(this->scenario.receivers, others);
        // The receivers are consecutive entries from a random one on, so that each entry receives
        // the notice of a prompt with the same probability.
        auto const first = count < others ? this->random.below(others) : 0;
        for (std::size_t i = 0; i < count; ++i)
        {
            auto const step = 1 + (first + i) % others;
            auto& receiver = this->entries[(notice.from + step) % this->entries.size()];
            if (this->scenario.lost_notice_fraction == 0 ||
                this->uniform() >= this->scenario.lost_notice_fraction)
                receiver.backlog.notice_received(this->now, id_of(notice.engine), notice.start,
                                                 notice.prompt);
        }
    }
    std::erase_if(this->first_tokens,
                  [&](first_token_event const& first_token)
                  {
                      if (first_token.arrives > this->now)
                          return false;
                      this->deliver_first_token(first_token);
                      return true;
                  });
    this->deliver_ends();
}

void placement_run::deliver_first_token(first_token_event const& first_token)
{
    auto& entry = this->entries[first_token.entry];
    auto const id = id_of(first_token.engine);
    auto const when = first_token.arrives;
    auto const& engine = this->engines[first_token.engine];
    if (this->policy >= placement::stated_speed && this->scenario.is_chosen_by_load)
        entry.backlog.speeds().stated(when, id, engine.differences().variable_factor(when));
    entry.backlog.first_token_received(when, id, first_token.start, first_token.sent);
    if (!this->scenario.is_chosen_by_load)
        return;
    auto const requests = static_cast<std::uint32_t>(engine.open_requests(when));
    entry.loads.report(when, id, ++this->reports, requests, 0);
}

void placement_run::deliver_ends()
{
    if (!this->scenario.is_chosen_by_load)
        return;
    std::erase_if(this->ends,
                  [&](end_event const& end)
                  {
                      if (end.arrives > this->now)
                          return false;
                      auto& entry = this->entries[end.entry];
                      auto const id = id_of(end.engine);
                      entry.loads.completed(this->now, id);
                      request::route_outcome outcome;
                      outcome.elapsed = end.arrives - end.sent_at;
                      entry.policy.record(this->now, id, outcome);
                      return true;
                  });
}

std::size_t placement_run::choose(std::size_t entry, request::prompt_parts const& prompt)
{
    auto& state = this->entries[entry];
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < this->engines.size(); ++i)
    {
        if (!this->is_lost[i])
            usable.push_back(i);
    }
    auto const load = [&](std::size_t engine)
    {
        auto& sent = state.sent[engine];
        while (!sent.empty() && sent.front() + seconds(1) < this->now)
            sent.pop_front();
        return sent.size();
    };
    if (this->policy == placement::two_choices)
    {
        auto const first = usable[this->random.below(usable.size())];
        auto const second = usable[this->random.below(usable.size())];
        return load(second) < load(first) ? second : first;
    }
    if (this->policy == placement::by_shared_part)
        return *std::max_element(usable.begin(), usable.end(),
                                 [&](std::size_t left, std::size_t right)
                                 {
                                     return stable_hash(id_of(left).value(), prompt[0].hash) <
                                            stable_hash(id_of(right).value(), prompt[0].hash);
                                 });
    std::vector<endpoint_id> candidates;
    for (auto const engine : usable)
        candidates.push_back(id_of(engine));
    auto costs = state.backlog.placement_costs(this->now, candidates, prompt);
    if (this->policy == placement::stated_speed_and_load)
        this->add_load_delays(entry, candidates, costs);
    return this->choose_cheapest(entry, usable, costs);
}

void placement_run::add_load_delays(std::size_t entry, std::vector<endpoint_id> const& candidates,
                                    std::vector<duration>& costs) const
{
    auto const& state = this->entries[entry];
    auto const slots = static_cast<std::uint32_t>(this->scenario.decoding.slots);
    for (std::size_t i = 0; i < candidates.size(); ++i)
        costs[i] += request::load_delay(state.loads.estimate(this->now, candidates[i]), slots,
                                        state.backlog.speeds().deviation(this->now, candidates[i]));
}

std::size_t placement_run::choose_by_load(std::size_t entry,
                                          std::vector<std::size_t> const& engines_to_use)
{
    auto& state = this->entries[entry];
    std::vector<request::route_candidate> candidates;
    for (auto const engine : engines_to_use)
    {
        request::route_candidate candidate;
        candidate.endpoint_id = id_of(engine);
        candidate.load = state.loads.estimate(this->now, candidate.endpoint_id);
        candidate.slots = static_cast<std::uint32_t>(this->scenario.decoding.slots);
        candidates.push_back(candidate);
    }
    auto const chosen = state.policy.choose(this->now, candidates, {}, this->random);
    return std::stoul(chosen->value().substr(1));
}

std::size_t placement_run::choose_cheapest(std::size_t entry,
                                           std::vector<std::size_t> const& usable,
                                           std::vector<duration> const& costs)
{
    auto const min_cost = std::min_element(costs.begin(), costs.end());
    if (this->scenario.tolerance == duration(0))
        return usable[static_cast<std::size_t>(min_cost - costs.begin())];
    std::vector<std::size_t> cheapest;
    for (std::size_t i = 0; i < usable.size(); ++i)
    {
        if (costs[i] <= *min_cost + this->scenario.tolerance)
            cheapest.push_back(usable[i]);
    }
    if (this->scenario.is_chosen_by_load)
        return this->choose_by_load(entry, cheapest);
    return cheapest[this->random.below(cheapest.size())];
}

void placement_run::send(std::size_t entry, request::prompt_parts const& prompt, bool is_long)
{
    auto const engine = this->choose(entry, prompt);
    this->entries[entry].sent[engine].push_back(this->now);
    auto const work =
        request::prefill_work(this->entries[entry].backlog, this->now, id_of(engine), prompt);
    auto const sent =
        this->entries[entry].backlog.sent(this->now, id_of(engine), this->starts[engine], prompt);
    auto const first_token = this->engines[engine].submit(this->now, prompt);
    this->first_tokens.push_back({first_token, entry, engine, this->starts[engine], sent});
    if (this->scenario.is_chosen_by_load)
    {
        auto const decode_time = this->engines[engine].last_decode_time();
        this->ends.push_back({first_token + decode_time, this->now, entry, engine});
        this->entries[entry].loads.dispatched(this->now, id_of(engine));
    }
    if (this->now >= time_point(uneven_warm_up))
    {
        this->result.to_first_token.add(to_seconds(first_token - this->now));
        this->result.decoding.add(to_seconds(this->engines[engine].last_decode_time()));
        this->result.prefill_work += to_seconds(this->engines[engine].last_prefill_time());
        this->result.estimated_prefill_work += to_seconds(work);
    }
    if (this->policy >= placement::shared_backlog)
        this->notices.push_back(
            {this->now + this->scenario.notice_delay, entry, engine, this->starts[engine], prompt});
    this->result.late_prompts += first_token - this->now > all_prompts_objective ? 1 : 0;
    ++this->result.prompts;
    this->result.seconds_to_first_token += to_seconds(first_token - this->now);
    this->result.long_prompts += is_long ? 1 : 0;
    this->result.late_long_prompts +=
        is_long && first_token - this->now > long_prompt_objective ? 1 : 0;
}

placement_results placement_run::run()
{
    while (this->now < time_point(run_time))
    {
        auto const pause = -std::log(1 - this->uniform()) / this->scenario.prompts_per_second;
        this->now += from_seconds(pause);
        this->inject_faults();
        this->deliver_messages();
        bool is_long = false;
        auto const prompt = this->make_prompt(is_long);
        this->send(this->random.below(this->entries.size()), prompt, is_long);
    }
    this->result.measured_time = this->now - time_point(uneven_warm_up);
    for (auto const& engine : this->engines)
        this->result.prefilled_tokens += engine.prefilled_tokens();
    return this->result;
}

} // namespace lagoonladder::study
