#include <lagoonladder/request/service_rate.hpp>

#include <algorithm>
#include <cmath>

namespace lagoonladder::request
{

namespace
{

/// Seconds of waiting after which the measured rate replaces the earlier one.
constexpr double min_measured_seconds = 1;
/// Minimum rate as a fraction of the initial one; keeps predicted waits finite.
constexpr double min_rate_fraction = 0.001;

} // namespace

service_rate::service_rate(double initial, duration time_constant)
    : window(to_seconds(time_constant))
    , min_rate(initial * min_rate_fraction)
    , last_measured(initial)
{
    invariant(initial > 0 && this->window > 0, "initial rate and window are positive");
}

void service_rate::advance(time_point now, std::optional<time_point> waiting_since)
{
    if (!this->last_advance)
        this->last_advance = now;
    auto const step = to_seconds(now - *this->last_advance);
    if (step <= 0)
        return;
    auto const decay = std::exp(-step / this->window);
    this->waiting_work *= decay;
    this->waiting_time *= decay;
    this->taken_work *= decay;
    if (waiting_since && *waiting_since + min_wait < now)
    {
        auto const from = std::max(*this->last_advance, *waiting_since + min_wait);
        auto const waited = to_seconds(now - from);
        this->waiting_time += this->window * (1 - std::exp(-waited / this->window));
    }
    this->last_advance = now;
    if (this->waiting_time >= min_measured_seconds)
        this->last_measured = this->waiting_work / this->waiting_time;
}

void service_rate::taken(double work, duration waited)
{
    this->taken_work += work;
    if (waited >= min_wait)
        this->waiting_work += work;
}

double service_rate::value() const
{
    auto const measured = this->waiting_time >= min_measured_seconds
                              ? this->waiting_work / this->waiting_time
                              : this->waiting_work + this->last_measured * (min_measured_seconds -
                                                                            this->waiting_time);
    return std::max({this->min_rate, measured, this->taken_work / this->window});
}

} // namespace lagoonladder::request
