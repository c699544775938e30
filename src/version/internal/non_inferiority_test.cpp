#include "non_inferiority_test.hpp"

#include <cmath>

namespace lagoonladder::version
{

namespace
{

/// Evidence beyond this is not kept, so that a version that turns bad fails the test within a few
/// calls.
constexpr double max_evidence = 6;
constexpr double min_evidence = -6;
/// Loss of evidence below the needed one that fails a test again, so that noise does not.
constexpr double failing_loss = 1;
/// The calls of an interval are not independent: they share replicas and load.
constexpr double max_interval_gain = 1.5;

/// A lower rate of the old version would let one failure outweigh dozens of good calls.
constexpr double min_good_rate = 0.03;

/// A version whose calls are not all slow is worse if this part of them takes this many times as
/// long as those of a version that is slow in all calls.
constexpr double very_slow_part = 0.5;
constexpr double very_slow_ratio = 2;

/// Minimum number of calls of the old version for their rates to be used.
constexpr double min_reference_calls = 15;
/// Minimum fraction of the calls that a bucket is assumed to have, so that single calls in a bucket
/// that the reference does not have decide nothing.
constexpr double min_bucket_fraction = 0.05;
/// The buckets up to this one, that is, calls of less than 16 ms, count as one. For such calls the
/// distance of the endpoint outweighs its work, and callers notice no difference.
constexpr std::size_t last_merged_bucket = 4;
/// Fraction of the calls of a slower version that have to take longer than that to be noticed.
constexpr double min_slower_fraction = 0.3;

/// Returns the fraction of the calls in a bucket if all calls took `factor` times as long.
double bucket_fraction(latency_histogram const& histogram, std::size_t bucket, double factor)
{
    bool const is_first = bucket <= last_merged_bucket;
    bool const is_last = bucket + 1 == latency_histogram::bucket_count;
    auto const above_lower_bound = is_first ? 1 : tail_fraction(histogram, bucket - 1, factor);
    auto const above_upper_bound =
        is_last ? 0 : tail_fraction(histogram, is_first ? last_merged_bucket : bucket, factor);
    return std::max(above_lower_bound - above_upper_bound, min_bucket_fraction);
}

double bounded(double sum, double gain)
{
    return std::clamp(sum + std::min(gain, max_interval_gain), min_evidence, max_evidence);
}

} // namespace

non_inferiority_evidence failure_evidence(version_counts const& candidate,
                                          version_counts const& reference, double margin)
{
    auto const reference_rate = reference.failure_count().rate();
    if (reference.requests < min_reference_calls || reference_rate > max_comparable_failure_rate)
        return {};
    auto const good_rate = std::max(reference_rate, min_good_rate);
    auto const bad_rate = good_rate + margin;
    auto const good_calls = candidate.requests - candidate.failures;
    auto const evidence = candidate.failures * std::log(good_rate / bad_rate) +
                          good_calls * std::log((1 - good_rate) / (1 - bad_rate));
    return {evidence, evidence};
}

non_inferiority_evidence latency_evidence(version_counts const& candidate,
                                          version_counts const& reference, move_metric metric,
                                          double bad_slowdown)
{
    auto const& histogram = reference.latency(metric);
    if (static_cast<double>(histogram.total()) < min_reference_calls)
        return {};
    auto const& counts = candidate.latency(metric).counts;
    non_inferiority_evidence evidence;
    for (std::size_t bucket = 0; bucket < latency_histogram::bucket_count; ++bucket)
    {
        auto const good = bucket_fraction(histogram, bucket, 1);
        auto const slow = bucket_fraction(histogram, bucket, bad_slowdown);
        auto const very_slow = bucket_fraction(histogram, bucket, very_slow_ratio * bad_slowdown);
        auto const partly_slow = (1 - very_slow_part) * good + very_slow_part * very_slow;
        evidence.all_calls += counts[bucket] * std::log(good / slow);
        evidence.some_calls += counts[bucket] * std::log(good / partly_slow);
    }
    return evidence;
}

bool is_slowdown_noticeable(version_counts const& reference, move_metric metric,
                            double bad_slowdown)
{
    auto const& histogram = reference.latency(metric);
    if (static_cast<double>(histogram.total()) < min_reference_calls)
        return false;
    auto const still_fast = bucket_fraction(histogram, last_merged_bucket, bad_slowdown);
    return 1 - still_fast >= min_slower_fraction;
}

void non_inferiority_test::add(non_inferiority_evidence const& interval)
{
    this->sum = {bounded(this->sum.all_calls, interval.all_calls),
                 bounded(this->sum.some_calls, interval.some_calls)};
    this->passed = this->evidence() >= this->needed - (this->passed ? failing_loss : 0);
}

void non_inferiority_test::restore(double stored_evidence)
{
    auto const evidence = std::clamp(stored_evidence, min_evidence, max_evidence);
    this->sum = {evidence, evidence};
    this->passed = evidence >= this->needed;
}

} // namespace lagoonladder::version
