#include <lagoonladder/request/queue_trend.hpp>

#include <cmath>

namespace lagoonladder::request
{

namespace
{

/// The fast average has to exceed the slow one by this factor and this many seconds, so that
/// ordinary variation is not reported as a rise.
constexpr double min_rise_factor = 1.1;
constexpr double min_rise_seconds = 0.5;

} // namespace

trend_detector::trend_detector(queue_trend_options initial)
    : options(initial)
{
}

std::optional<queue_trend> trend_detector::observe(time_point now, duration oldest_age,
                                                   duration predicted_wait, std::size_t length)
{
    auto const elapsed = this->last_observed ? to_seconds(now - *this->last_observed) : 0.0;
    this->last_observed = now;
    this->update(this->age, to_seconds(oldest_age), elapsed);
    this->update(this->wait, to_seconds(predicted_wait), elapsed);
    auto const make_trend = [&](bool rising) {
        return queue_trend{rising, oldest_age, predicted_wait, length};
    };
    if (is_at_or_below_slow(this->age) || is_at_or_below_slow(this->wait))
    {
        this->rising_since.reset();
        if (!this->reported)
            return std::nullopt;
        this->reported = false;
        return make_trend(false);
    }
    if (!is_above_slow(this->age) || !is_above_slow(this->wait))
        return std::nullopt;
    if (!this->rising_since)
        this->rising_since = now;
    if (this->reported || now - *this->rising_since < this->options.rise_time)
        return std::nullopt;
    this->reported = true;
    return make_trend(true);
}

void trend_detector::update(averages& value, double sample, double elapsed) const
{
    value.fast += (sample - value.fast) * (1 - std::exp(-elapsed / to_seconds(this->options.fast)));
    value.slow += (sample - value.slow) * (1 - std::exp(-elapsed / to_seconds(this->options.slow)));
}

bool trend_detector::is_above_slow(averages const& value)
{
    return value.fast > value.slow * min_rise_factor + min_rise_seconds;
}

bool trend_detector::is_at_or_below_slow(averages const& value)
{
    return value.fast <= value.slow;
}

} // namespace lagoonladder::request
