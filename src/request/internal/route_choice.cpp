#include <lagoonladder/request/route_choice.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>
#include <utility>

namespace lagoonladder::request
{

namespace
{

/// Weight of a new sample in the moving average of an endpoint's time.
constexpr double sample_weight = 0.1;
/// Number of samples before an endpoint's time is compared with those of other endpoints.
constexpr std::uint32_t min_samples = 5;
/// Time constant of the weight of an endpoint's time when it gets no requests.
constexpr duration sample_decay = seconds(10);
/// Bounds of the relative time, so that a few unusual requests do not dominate the load.
constexpr double min_relative_time = 0.5;
constexpr double max_relative_time = 8;
/// Time after which a probe without a recorded outcome no longer blocks the next probe.
constexpr duration probe_timeout = seconds(10);
/// An endpoint that was no candidate for this time is treated as new, because its caches are cold
/// when it returns.
constexpr duration max_absence = seconds(5);

bool contains(std::vector<endpoint_id> const& ids, endpoint_id const& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool is_usable(route_candidate const& candidate, route_query const& query)
{
    return !candidate.leaving && !contains(query.excluded, candidate.endpoint_id);
}

double slots_of(route_candidate const& candidate)
{
    return std::max<std::uint32_t>(1, candidate.slots);
}

} // namespace

balanced_route_policy::balanced_route_policy(balanced_route_options initial)
    : options(initial)
{
}

std::optional<endpoint_id>
balanced_route_policy::choose(time_point now, std::vector<route_candidate> const& candidates,
                              route_query const& query, random_source& random)
{
    this->update_endpoints(now, candidates);
    auto const all = this->find_eligible(now, candidates, query);
    if (all.empty())
        return std::nullopt;
    auto const group = this->select_affinity_group(this->within_bound(all), query);
    auto const& chosen = choose_of_two(group, random);
    auto const& id = chosen.candidate->endpoint_id;
    this->record_probe(now, id);
    return id;
}

void balanced_route_policy::record(time_point now, endpoint_id const& endpoint,
                                   route_outcome const& outcome)
{
    auto const found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end())
        return;
    auto& state = found->second;
    // Outcomes of attempts from before the exclusion say nothing about recovery.
    if (state.excluded_until > now)
        return;
    if (outcome.ok)
        record_success(now, state, outcome);
    else
        this->record_failure(now, state, outcome.unreachable);
}

void balanced_route_policy::record_failure(time_point now, health& state, bool unreachable) const
{
    ++state.failures;
    bool const may_be_transient =
        state.failures < this->options.failures_to_exclude && state.exclusions == 0;
    if (may_be_transient && !unreachable)
        return;
    auto const doublings = std::min<std::uint32_t>(state.exclusions, 16);
    auto const exclusion_time = this->options.exclusion * (std::int64_t(1) << doublings);
    state.excluded_until = now + std::min<duration>(exclusion_time, this->options.max_exclusion);
    ++state.exclusions;
    state.failures = 0;
    state.probing = false;
}

void balanced_route_policy::record_success(time_point now, health& state,
                                           route_outcome const& outcome)
{
    if (state.exclusions > 0)
        state.ramp_started = now;
    state.failures = 0;
    state.exclusions = 0;
    state.probing = false;
    // A request without tokens counts as one unit.
    auto const units = static_cast<double>(std::max<std::uint64_t>(1, outcome.tokens));
    auto const unit_time = to_seconds(outcome.elapsed) / units;
    auto const weight = state.samples == 0 ? 1.0 : sample_weight;
    state.mean_time += (unit_time - state.mean_time) * weight;
    ++state.samples;
    state.last_sample = now;
}

bool balanced_route_policy::is_excluded(time_point now, endpoint_id const& endpoint) const
{
    auto const found = this->endpoints.find(endpoint);
    return found != this->endpoints.end() && is_blocked(now, found->second);
}

void balanced_route_policy::update_endpoints(time_point now,
                                             std::vector<route_candidate> const& candidates)
{
    for (auto const& candidate : candidates)
    {
        auto const [position, is_new] = this->endpoints.try_emplace(candidate.endpoint_id);
        auto& state = position->second;
        if (is_new || now - state.last_candidate >= max_absence)
            state.ramp_started = now;
        state.last_candidate = now;
    }
    if (now - this->last_prune < this->options.max_idle)
        return;
    this->last_prune = now;
    std::erase_if(this->endpoints, [&](auto const& item)
                  { return now - item.second.last_candidate >= this->options.max_idle; });
}

double balanced_route_policy::ramp_share(time_point now, health const& state) const
{
    auto const progress = to_seconds(now - state.ramp_started) / to_seconds(this->options.ramp_up);
    auto const start = this->options.ramp_start;
    return std::clamp(start + (1 - start) * progress, start, 1.0);
}

bool balanced_route_policy::is_blocked(time_point now, health const& state)
{
    if (state.exclusions == 0)
        return false;
    auto const is_probe_running = state.probing && now - state.probe_started < probe_timeout;
    return state.excluded_until > now || is_probe_running;
}

double balanced_route_policy::median_time(std::vector<route_candidate> const& candidates) const
{
    std::vector<double> times;
    for (auto const& candidate : candidates)
    {
        auto const& state = this->endpoints.at(candidate.endpoint_id);
        if (state.samples >= min_samples)
            times.push_back(state.mean_time);
    }
    if (times.empty())
        return 0;
    auto const middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

balanced_route_policy::rated_list
balanced_route_policy::find_eligible(time_point now, std::vector<route_candidate> const& candidates,
                                     route_query const& query) const
{
    rated_list healthy;
    rated_list failing;
    for (auto const& candidate : candidates)
    {
        if (!is_usable(candidate, query))
            continue;
        auto const blocked = is_blocked(now, this->endpoints.at(candidate.endpoint_id));
        (blocked ? failing : healthy).push_back({&candidate, 0, 0, 1});
    }
    auto& all = healthy.empty() ? failing : healthy;
    this->rate(now, query, this->median_time(candidates), all);
    return std::move(all);
}

double balanced_route_policy::relative_time(time_point now, health const& state, double median)
{
    if (state.samples < min_samples || median <= 0)
        return 1;
    auto const measured =
        std::clamp(state.mean_time / median, min_relative_time, max_relative_time);
    auto const age = to_seconds(now - state.last_sample);
    // An endpoint that gets no requests because it was slow would otherwise stay without requests.
    return 1 + (measured - 1) * std::exp(-age / to_seconds(sample_decay));
}

void balanced_route_policy::rate(time_point now, route_query const& query, double median,
                                 rated_list& all) const
{
    double max_share = 0;
    for (auto& rated : all)
    {
        rated.share = this->ramp_share(now, this->endpoints.at(rated.candidate->endpoint_id));
        max_share = std::max(max_share, rated.share);
    }
    for (auto& rated : all)
    {
        auto const& candidate = *rated.candidate;
        auto const& state = this->endpoints.at(candidate.endpoint_id);
        // After a start all endpoints are new, so only the share relative to the other candidates
        // matters.
        rated.share /= max_share;
        rated.load = (candidate.load + 1) / slots_of(candidate) *
                     relative_time(now, state, median) * candidate.time_deviation;
        auto const is_remote = candidate.data_centre != query.data_centre;
        rated.cost = rated.load + (is_remote ? this->options.remote_penalty : 0) -
                     this->options.prefix_weight * candidate.prefix_match;
    }
}

balanced_route_policy::rated_list balanced_route_policy::within_bound(rated_list const& all) const
{
    auto const sum =
        std::accumulate(all.begin(), all.end(), 0.0,
                        [](double total, auto const& rated) { return total + rated.load; });
    auto const mean = sum / static_cast<double>(all.size());
    auto const bound = std::max(this->options.idle_load, this->options.load_factor * mean);
    rated_list kept;
    std::copy_if(all.begin(), all.end(), std::back_inserter(kept),
                 [&](auto const& rated) { return rated.load <= bound; });
    return kept;
}

balanced_route_policy::rated_list
balanced_route_policy::select_affinity_group(rated_list all, route_query const& query) const
{
    auto const has_prefix_match =
        std::any_of(all.begin(), all.end(),
                    [](auto const& rated) { return rated.candidate->prefix_match > 0; });
    if ((query.prefix_hash == 0 && !has_prefix_match) || all.size() <= this->options.affinity_group)
        return all;
    auto const rank = [&](rated_candidate const& rated)
    {
        auto const& candidate = *rated.candidate;
        return std::make_pair(candidate.prefix_match,
                              stable_hash(candidate.endpoint_id.value(), query.prefix_hash));
    };
    std::sort(all.begin(), all.end(),
              [&](auto const& left, auto const& right) { return rank(left) > rank(right); });
    all.resize(this->options.affinity_group);
    return all;
}

balanced_route_policy::rated_candidate const&
balanced_route_policy::choose_of_two(rated_list const& group, random_source& random)
{
    auto const first = random.below(group.size());
    if (group.size() == 1)
        return group[first];
    auto const second = (first + 1 + random.below(group.size() - 1)) % group.size();
    bool const is_swapped = is_second_better(group[first], group[second]);
    auto const& better = is_swapped ? group[second] : group[first];
    auto const& other = is_swapped ? group[first] : group[second];
    // An idle endpoint wins each comparison. During ramp-up its wins only count with the
    // probability `share`.
    return random.unit() < better.share ? better : other;
}

bool balanced_route_policy::is_second_better(rated_candidate const& first,
                                             rated_candidate const& second)
{
    return second.cost < first.cost;
}

void balanced_route_policy::record_probe(time_point now, endpoint_id const& endpoint)
{
    auto& state = this->endpoints.at(endpoint);
    if (state.exclusions == 0 || state.excluded_until > now)
        return;
    state.probing = true;
    state.probe_started = now;
}

} // namespace lagoonladder::request
