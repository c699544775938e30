#include <lagoonladder/request/load_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace lagoonladder::request
{

load_estimate::load_estimate(load_estimate_options initial)
    : options(initial)
{
}

void load_estimate::report(time_point now, endpoint_id const& endpoint, std::uint64_t sequence,
                           std::uint32_t running, std::uint32_t waiting)
{
    auto& state = this->endpoints[endpoint];
    if (state.reported && sequence <= state.sequence)
        return;
    auto const measured_at = now - this->options.report_lag;
    auto const total = static_cast<double>(running) + static_cast<double>(waiting);
    this->update_others(state, std::max(0.0, total - own_at(state, measured_at)));
    state.sequence = sequence;
    state.reported_at = measured_at;
    state.last_used = now;
}

void load_estimate::dispatched(time_point now, endpoint_id const& endpoint)
{
    auto& state = this->endpoints[endpoint];
    ++state.own;
    this->record_change(now, state, 1);
}

void load_estimate::completed(time_point now, endpoint_id const& endpoint)
{
    auto const found = this->endpoints.find(endpoint);
    // The endpoint may have been removed since the attempt was sent.
    if (found == this->endpoints.end() || found->second.own == 0)
        return;
    --found->second.own;
    this->record_change(now, found->second, -1);
}

double load_estimate::estimate(time_point now, endpoint_id const& endpoint) const
{
    auto const mean = this->reporting_count > 0 ? this->others_total / this->reporting_count : 0.0;
    auto const found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end())
        return mean;
    auto const& state = found->second;
    if (!state.reported)
        return state.own + mean;
    auto const age = to_seconds(std::max(duration::zero(), now - state.reported_at));
    auto const weight = std::exp(-age / to_seconds(this->options.decay));
    return state.own + mean + (state.others - mean) * weight;
}

std::uint32_t load_estimate::own_attempts(endpoint_id const& endpoint) const
{
    auto const found = this->endpoints.find(endpoint);
    return found == this->endpoints.end() ? 0 : found->second.own;
}

void load_estimate::remove(endpoint_id const& endpoint)
{
    auto const found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end())
        return;
    this->remove_others(found->second);
    this->endpoints.erase(found);
}

void load_estimate::expire(time_point now)
{
    for (auto position = this->endpoints.begin(); position != this->endpoints.end();)
    {
        auto& state = position->second;
        auto const is_idle = now - state.last_used >= this->options.max_idle;
        if (!is_idle || state.own > 0)
        {
            ++position;
            continue;
        }
        this->remove_others(state);
        position = this->endpoints.erase(position);
    }
}

void load_estimate::record_change(time_point now, endpoint_state& state, int delta) const
{
    state.last_used = now;
    state.recent_changes.push_back({now, delta});
    while (state.recent_changes.front().changed_at < now - this->options.report_lag)
        state.recent_changes.pop_front();
}

double load_estimate::own_at(endpoint_state const& state, time_point time)
{
    double count = state.own;
    for (auto const& recent_change : state.recent_changes)
    {
        if (recent_change.changed_at > time)
            count -= recent_change.delta;
    }
    return count;
}

void load_estimate::update_others(endpoint_state& state, double others)
{
    this->remove_others(state);
    state.reported = true;
    state.others = others;
    this->others_total += others;
    ++this->reporting_count;
}

void load_estimate::remove_others(endpoint_state& state)
{
    if (!state.reported)
        return;
    state.reported = false;
    this->others_total = std::max(0.0, this->others_total - state.others);
    --this->reporting_count;
}

} // namespace lagoonladder::request
