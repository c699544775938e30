#include <lagoonladder/request/endpoint_speed.hpp>

#include <algorithm>
#include <cmath>

namespace lagoonladder::request
{

endpoint_speed::endpoint_speed(endpoint_speed_options initial)
    : options(initial)
{
}

void endpoint_speed::stated(time_point when, endpoint_id const& endpoint, double relative_time)
{
    auto const bounded = std::clamp(relative_time, this->options.min_time, this->options.max_time);
    auto const [position, is_new] = this->endpoints.try_emplace(endpoint);
    auto& state = position->second;
    if (!is_new && when < state.last_at)
        return;
    auto const weight = is_new ? 1 : this->options.statement_weight;
    state.mean += weight * (bounded - state.mean);
    state.last = bounded;
    state.last_at = when;
}

double endpoint_speed::deviation(time_point now, endpoint_id const& endpoint,
                                 duration elapsed) const
{
    auto const found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end())
        return 1;
    auto const& state = found->second;
    auto const time_constant = to_seconds(this->options.statement_decay);
    auto const age = std::max(0.0, to_seconds(now - state.last_at)) / time_constant;
    auto weight = std::exp(-age);
    // The speed returns to its mean in the course of the period.
    auto const length = to_seconds(elapsed) / time_constant;
    if (length > 0)
        weight *= -std::expm1(-length) / length;
    return 1 + (state.last / state.mean - 1) * weight;
}

void endpoint_speed::expire(time_point now)
{
    std::erase_if(this->endpoints, [&](auto const& item)
                  { return now - item.second.last_at >= this->options.max_idle; });
}

} // namespace lagoonladder::request
