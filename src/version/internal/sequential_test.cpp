#include "sequential_test.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lagoonladder::version
{

namespace
{

// Half of the weight is on a version that is bad from the start. The rest is spread evenly over
// the one-second intervals of a move of half an hour.
constexpr double first_weight = 0.5;
constexpr double planned_intervals = 1800;
// Upper bound of a value, against overflow. A value does not vanish either: each of the planned
// intervals adds the weight of a fault that starts in it, so a later fault is still found.
constexpr double max_value = 1e100;

} // namespace

double concurrent_evidence(event_count const& candidate, event_count const& stable,
                           double tolerated_ratio, double bad_ratio)
{
    if (candidate.total <= 0 || stable.total <= 0)
        return 0;
    auto const fraction_of_candidate = [&](double factor)
    { return factor * candidate.total / (factor * candidate.total + stable.total); };
    auto const tolerated_fraction = fraction_of_candidate(tolerated_ratio);
    auto const bad_fraction = fraction_of_candidate(bad_ratio);
    return candidate.events * std::log(bad_fraction / tolerated_fraction) +
           stable.events * std::log((1 - bad_fraction) / (1 - tolerated_fraction));
}

double reference_evidence(event_count const& candidate, double tolerated_rate, double bad_rate)
{
    if (bad_rate <= tolerated_rate)
        return 0;
    auto const good_calls = candidate.total - candidate.events;
    return candidate.events * std::log(bad_rate / tolerated_rate) +
           good_calls * std::log((1 - bad_rate) / (1 - tolerated_rate));
}

void restart_mixture::open_interval()
{
    double weight = 0;
    if (this->intervals == 0)
        weight = first_weight;
    else if (static_cast<double>(this->intervals) <= planned_intervals)
        weight = (1 - first_weight) / planned_intervals;
    ++this->intervals;
    for (auto& value : this->values)
        value += weight / static_cast<double>(this->values.size());
}

void restart_mixture::add(std::size_t alternative, double evidence, double limit)
{
    auto& value = this->values[alternative];
    value = std::min(value * std::exp(std::min(evidence, limit)), max_value);
}

double restart_mixture::log_value() const
{
    return std::log(std::accumulate(this->values.begin(), this->values.end(), 1e-100));
}

void restart_mixture::restore(double log_value)
{
    auto const value = std::min(std::exp(log_value), max_value);
    std::fill(this->values.begin(), this->values.end(),
              value / static_cast<double>(this->values.size()));
    this->intervals = 1;
}

} // namespace lagoonladder::version
