#include <lagoonladder/request/service_rate.hpp>

#include <algorithm>
#include <cmath>

namespace lagoonladder::request
{

namespace
{

/// Seconds of waiting after which the measured rate replaces the earlier one.
constexpr double full_measure = 1;
/// Smallest rate as a share of the initial one; keeps predicted waits finite.
constexpr double floor_share = 0.001;

} // namespace

service_rate::service_rate(double initial, duration time_constant)
    : window(to_seconds(time_constant))
    , floor(initial * floor_share)
    , known(initial)
{
    invariant(initial > 0 && this->window > 0, "initial rate and window are positive");
}

void service_rate::advance(time_point now, std::optional<time_point> waiting_since)
{
    if (!this->last)
        this->last = now;
    auto const step = to_seconds(now - *this->last);
    if (step <= 0)
        return;
    auto const keep = std::exp(-step / this->window);
    this->waited_work *= keep;
    this->waited_time *= keep;
    this->all_work *= keep;
    if (waiting_since && *waiting_since + min_wait < now)
    {
        auto const from = std::max(*this->last, *waiting_since + min_wait);
        auto const waited = to_seconds(now - from);
        this->waited_time += this->window * (1 - std::exp(-waited / this->window));
    }
    this->last = now;
    if (this->waited_time >= full_measure)
        this->known = this->waited_work / this->waited_time;
}

void service_rate::taken(double work, duration waited)
{
    this->all_work += work;
    if (waited >= min_wait)
        this->waited_work += work;
}

double service_rate::value() const
{
    auto const measured =
        this->waited_time >= full_measure
            ? this->waited_work / this->waited_time
            : this->waited_work + this->known * (full_measure - this->waited_time);
    return std::max({this->floor, measured, this->all_work / this->window});
}

} // namespace lagoonladder::request
