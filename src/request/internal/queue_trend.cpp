#include <lagoonladder/request/queue_trend.hpp>

#include <cmath>

namespace lagoonladder::request
{

namespace
{

/// The fast average has to exceed the slow one by this factor and this many seconds, so that
/// ordinary variation is not reported as a rise.
constexpr double min_rise = 1.1;
constexpr double min_rise_seconds = 0.5;

} // namespace

trend_detector::trend_detector(queue_trend_options initial)
    : options(initial)
{
}

std::optional<queue_trend> trend_detector::observe(time_point now, duration oldest_age,
                                                   duration predicted_wait, std::size_t length)
{
    auto const step = this->last ? to_seconds(now - *this->last) : 0.0;
    this->last = now;
    this->update(this->age, to_seconds(oldest_age), step);
    this->update(this->wait, to_seconds(predicted_wait), step);
    auto const change = [&](bool rising) {
        return queue_trend{rising, oldest_age, predicted_wait, length};
    };
    if (falls(this->age) || falls(this->wait))
    {
        this->rising_since.reset();
        if (!this->reported)
            return std::nullopt;
        this->reported = false;
        return change(false);
    }
    if (!rises(this->age) || !rises(this->wait))
        return std::nullopt;
    if (!this->rising_since)
        this->rising_since = now;
    if (this->reported || now - *this->rising_since < this->options.rise_time)
        return std::nullopt;
    this->reported = true;
    return change(true);
}

void trend_detector::update(averages& value, double sample, double step) const
{
    value.fast += (sample - value.fast) * (1 - std::exp(-step / to_seconds(this->options.fast)));
    value.slow += (sample - value.slow) * (1 - std::exp(-step / to_seconds(this->options.slow)));
}

bool trend_detector::rises(averages const& value)
{
    return value.fast > value.slow * min_rise + min_rise_seconds;
}

bool trend_detector::falls(averages const& value)
{
    return value.fast <= value.slow;
}

} // namespace lagoonladder::request
