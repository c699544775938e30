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
    auto& known = this->endpoints[endpoint];
    if (known.reported && sequence <= known.sequence)
        return;
    auto const measured_at = now - this->options.report_lag;
    auto const total = static_cast<double>(running) + static_cast<double>(waiting);
    this->update_others(known, std::max(0.0, total - own_at(known, measured_at)));
    known.sequence = sequence;
    known.reported_at = measured_at;
    known.last_used = now;
}

void load_estimate::dispatched(time_point now, endpoint_id const& endpoint)
{
    auto& known = this->endpoints[endpoint];
    ++known.own;
    this->remember(now, known, 1);
}

void load_estimate::completed(time_point now, endpoint_id const& endpoint)
{
    auto const found = this->endpoints.find(endpoint);
    // The endpoint was removed in the meantime.
    if (found == this->endpoints.end() || found->second.own == 0)
        return;
    --found->second.own;
    this->remember(now, found->second, -1);
}

double load_estimate::estimate(time_point now, endpoint_id const& endpoint) const
{
    auto const mean = this->reporting > 0 ? this->others_total / this->reporting : 0.0;
    auto const found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end())
        return mean;
    auto const& known = found->second;
    if (!known.reported)
        return known.own + mean;
    auto const age = to_seconds(std::max(duration::zero(), now - known.reported_at));
    auto const weight = std::exp(-age / to_seconds(this->options.decay));
    return known.own + mean + (known.others - mean) * weight;
}

std::uint32_t load_estimate::own(endpoint_id const& endpoint) const
{
    auto const found = this->endpoints.find(endpoint);
    return found == this->endpoints.end() ? 0 : found->second.own;
}

void load_estimate::remove(endpoint_id const& endpoint)
{
    auto const found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end())
        return;
    this->forget_others(found->second);
    this->endpoints.erase(found);
}

void load_estimate::expire(time_point now)
{
    for (auto position = this->endpoints.begin(); position != this->endpoints.end();)
    {
        auto& known = position->second;
        auto const is_idle = now - known.last_used >= this->options.forget_after;
        if (!is_idle || known.own > 0)
        {
            ++position;
            continue;
        }
        this->forget_others(known);
        position = this->endpoints.erase(position);
    }
}

void load_estimate::remember(time_point now, state& known, int delta) const
{
    known.last_used = now;
    known.recent.push_back({now, delta});
    while (known.recent.front().when < now - this->options.report_lag)
        known.recent.pop_front();
}

double load_estimate::own_at(state const& known, time_point when)
{
    double count = known.own;
    for (auto const& step : known.recent)
    {
        if (step.when > when)
            count -= step.delta;
    }
    return count;
}

void load_estimate::update_others(state& known, double others)
{
    this->forget_others(known);
    known.reported = true;
    known.others = others;
    this->others_total += others;
    ++this->reporting;
}

void load_estimate::forget_others(state& known)
{
    if (!known.reported)
        return;
    known.reported = false;
    this->others_total = std::max(0.0, this->others_total - known.others);
    --this->reporting;
}

} // namespace lagoonladder::request
