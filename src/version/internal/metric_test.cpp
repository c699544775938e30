#include "metric_test.hpp"

#include <algorithm>
#include <cmath>

namespace lagoonladder::version
{

namespace
{

// Ratios to the old version up to which the new one is tolerated. A test without tolerance
// would reverse versions because of differences that no caller notices.
constexpr double tolerated_failure_ratio = 1.5;
constexpr double tolerated_slowdown = 1.25;
// Alternatives: ratios that a worse version is tested for.
constexpr std::array<double, 4> failure_ratios{2.5, 6, 20, 100};
constexpr std::array<double, 3> slowdowns{1.7, 2.5, 5};

// Without concurrent traffic, a disturbance of both versions looks like a fault of the new
// one, so the reference tests tolerate more.
constexpr double tolerated_reference_ratio = 2;
constexpr double tolerated_reference_failures = 0.01;
constexpr double tolerated_reference_slowdown = 1.6;
constexpr std::array<double, 3> reference_failure_factors{2.5, 6, 20};
constexpr std::array<double, 3> reference_slowdowns{2.5, 4, 8};

// Number of bucket edges above which calls are counted as slow.
constexpr std::size_t edge_count = 3;
// The lowest tested edge is the first one above which at most this fraction of the old
// version's calls lies.
constexpr double max_edge_tail = 0.6;
// Minimum number of calls of the old version for their distribution to be used.
constexpr double min_reference_calls = 30;
// Alternatives with a smaller ratio to the null hypothesis would need too many calls.
constexpr double min_contrast = 1.2;

std::size_t lowest_edge(latency_histogram const& histogram)
{
    std::size_t edge = 0;
    while (edge + edge_count < latency_histogram::bucket_count &&
           tail_fraction(histogram, edge, 1) > max_edge_tail)
        ++edge;
    return edge;
}

} // namespace

metric_test::metric_test(move_metric tested_metric)
    : metric(tested_metric)
    , concurrent_mixture(tested_metric == move_metric::failures ? failure_ratios.size()
                                                                : slowdowns.size() * edge_count)
    , reference_mixture(tested_metric == move_metric::failures
                            ? reference_failure_factors.size()
                            : reference_slowdowns.size() * edge_count)
{
}

void metric_test::add(paired_counts const& interval, version_counts const& earlier_counts,
                      bool use_reference, double limit)
{
    this->concurrent_mixture.open_interval();
    this->reference_mixture.open_interval();
    if (this->metric == move_metric::failures)
        this->add_failures(interval, earlier_counts, use_reference, limit);
    else
        this->add_latency(interval, earlier_counts, use_reference, limit);
}

void metric_test::add_failures(paired_counts const& interval, version_counts const& earlier_counts,
                               bool use_reference, double limit)
{
    auto const candidate = interval.candidate.failure_count();
    auto const stable = interval.stable.failure_count();
    for (std::size_t i = 0; i < failure_ratios.size(); ++i)
        this->concurrent_mixture.add(
            i, concurrent_evidence(candidate, stable, tolerated_failure_ratio, failure_ratios[i]),
            limit);
    if (!use_reference || earlier_counts.requests < min_reference_calls)
        return;
    auto const stable_rate = (earlier_counts.failures + 1) / (earlier_counts.requests + 1);
    auto const tolerated_rate =
        std::min(0.5, tolerated_reference_ratio * stable_rate + tolerated_reference_failures);
    for (std::size_t i = 0; i < reference_failure_factors.size(); ++i)
        this->reference_mixture.add(
            i,
            reference_evidence(candidate, tolerated_rate,
                               std::min(0.95, tolerated_rate * reference_failure_factors[i])),
            limit);
}

void metric_test::add_latency(paired_counts const& interval, version_counts const& earlier_counts,
                              bool use_reference, double limit)
{
    auto const& histogram = earlier_counts.latency(this->metric);
    auto const call_count =
        std::min(static_cast<double>(histogram.total()), earlier_counts.requests);
    if (call_count < min_reference_calls)
        return;
    auto const lowest = lowest_edge(histogram);
    for (std::size_t component = 0; component < edge_count * slowdowns.size(); ++component)
    {
        auto const edge = lowest + component / slowdowns.size();
        auto const alternative = component % slowdowns.size();
        auto const candidate = interval.candidate.slower_than(this->metric, edge);
        auto const stable = interval.stable.slower_than(this->metric, edge);
        // One more slow call is assumed, so that one slow call can't decide against an empty tail.
        auto const stable_rate = tail_fraction(histogram, edge, 1) + 1 / call_count;
        auto const tolerated_rate =
            tail_fraction(histogram, edge, tolerated_slowdown) + 1 / call_count;
        auto const alternative_rate = tail_fraction(histogram, edge, slowdowns[alternative]);
        if (alternative_rate > min_contrast * tolerated_rate)
            this->concurrent_mixture.add(component,
                                         concurrent_evidence(candidate, stable,
                                                             tolerated_rate / stable_rate,
                                                             alternative_rate / stable_rate),
                                         limit);
        if (!use_reference)
            continue;
        auto const tolerated_reference_rate =
            tail_fraction(histogram, edge, tolerated_reference_slowdown) +
            2 / std::sqrt(call_count);
        auto const reference_rate =
            std::min(0.95, tail_fraction(histogram, edge, reference_slowdowns[alternative]));
        if (reference_rate > min_contrast * tolerated_reference_rate)
            this->reference_mixture.add(
                component, reference_evidence(candidate, tolerated_reference_rate, reference_rate),
                limit);
    }
}

double metric_test::evidence() const
{
    return std::max(this->concurrent_mixture.log_value(), this->reference_mixture.log_value());
}

void metric_test::restore(double evidence)
{
    this->concurrent_mixture.restore(evidence);
    this->reference_mixture.restore(evidence);
}

} // namespace lagoonladder::version
