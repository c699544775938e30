#include "non_inferiority_test.hpp"

#include <algorithm>
#include <cmath>

namespace lagoonladder::version
{

namespace
{

/// Evidence beyond this is not kept, so that a version that turns bad fails the test within a few
/// calls.
constexpr double max_evidence = 6;
constexpr double min_evidence = -3;
/// Loss of evidence below the needed one that fails a test again. Single failures cost about 2.
constexpr double failing_loss = 2;
/// The calls of an interval are not independent: they share replicas and load.
constexpr double max_interval_gain = 1.5;

/// Increase of the failure rate that counts as worse.
constexpr double failure_margin = 0.25;
/// A lower rate of the old version would let one failure outweigh dozens of good calls.
constexpr double min_good_rate = 0.03;
constexpr double max_bad_rate = 0.95;

/// A version whose calls are not all slow is worse if this part of them takes this many times as
/// long as those of a version that is slow in all calls.
constexpr double very_slow_part = 0.5;
constexpr double very_slow_ratio = 2;

/// Minimum number of calls of the old version for their rates to be used.
constexpr double min_reference_calls = 15;

/// Minimum fraction of the calls that a bucket is assumed to have, so that single calls in a bucket
/// that the reference does not have decide nothing.
constexpr double min_bucket_fraction = 0.05;

/// Returns the fraction of the calls in a bucket if all calls took `factor` times as long.
double bucket_fraction(latency_histogram const& histogram, std::size_t bucket, double factor)
{
    auto const above_lower_bound = bucket == 0 ? 1 : tail_fraction(histogram, bucket - 1, factor);
    bool const is_last = bucket + 1 == latency_histogram::bucket_count;
    auto const above_upper_bound = is_last ? 0 : tail_fraction(histogram, bucket, factor);
    return std::max(above_lower_bound - above_upper_bound, min_bucket_fraction);
}

} // namespace

void non_inferiority_test::add_failures(version_counts const& candidate,
                                        version_counts const& reference)
{
    if (reference.requests < min_reference_calls)
        return;
    auto const good_rate =
        std::clamp(reference.failure_count().rate(), min_good_rate, max_bad_rate - failure_margin);
    auto const bad_rate = good_rate + failure_margin;
    auto const good_calls = candidate.requests - candidate.failures;
    auto const gain = candidate.failures * std::log(good_rate / bad_rate) +
                      good_calls * std::log((1 - good_rate) / (1 - bad_rate));
    this->add(gain, gain);
}

void non_inferiority_test::add_latency(move_metric metric, version_counts const& candidate,
                                       version_counts const& reference, double bad_slowdown)
{
    auto const& histogram = reference.latency(metric);
    if (static_cast<double>(histogram.total()) < min_reference_calls)
        return;
    auto const& counts = candidate.latency(metric).counts;
    double all_calls_gain = 0;
    double some_calls_gain = 0;
    for (std::size_t bucket = 0; bucket < latency_histogram::bucket_count; ++bucket)
    {
        auto const good = bucket_fraction(histogram, bucket, 1);
        auto const slow = bucket_fraction(histogram, bucket, bad_slowdown);
        auto const very_slow = bucket_fraction(histogram, bucket, very_slow_ratio * bad_slowdown);
        all_calls_gain += counts[bucket] * std::log(good / slow);
        some_calls_gain +=
            counts[bucket] *
            std::log(good / ((1 - very_slow_part) * good + very_slow_part * very_slow));
    }
    this->add(all_calls_gain, some_calls_gain);
}

void non_inferiority_test::add(double all_calls_gain, double some_calls_gain)
{
    auto const add_to = [](double& value, double gain)
    { value = std::clamp(value + std::min(gain, max_interval_gain), min_evidence, max_evidence); };
    add_to(this->all_calls, all_calls_gain);
    add_to(this->some_calls, some_calls_gain);
    this->passed = this->evidence() >= this->needed - (this->passed ? failing_loss : 0);
}

void non_inferiority_test::restore(double stored_value)
{
    this->all_calls = std::clamp(stored_value, min_evidence, max_evidence);
    this->some_calls = this->all_calls;
    this->passed = this->evidence() >= this->needed;
}

} // namespace lagoonladder::version
