#ifndef LAGOONLADDER_VERSION_VERSION_COUNTS_HPP
#define LAGOONLADDER_VERSION_VERSION_COUNTS_HPP

#include <array>
#include <map>

#include <lagoonladder/version/traffic_sample.hpp>

#include "sequential_test.hpp"

namespace lagoonladder::version
{

enum class move_metric
{
    failures,
    first_token,
    between_tokens,
    whole_call
};

constexpr std::array<move_metric, 4> all_metrics{move_metric::failures, move_metric::first_token,
                                                 move_metric::between_tokens,
                                                 move_metric::whole_call};

char const* metric_name(move_metric metric);

/// Counts of one version, on one route or on all routes pooled.
struct version_counts
{
    double requests = 0;
    double sent = 0;
    double failures = 0;
    /// Calls that have not ended.
    double open = 0;
    /// Histograms in the order of move_metric, without `failures`.
    std::array<latency_histogram, 3> latencies;

    void add(traffic_sample const& sample);
    void add(version_counts const& other);

    latency_histogram const& latency(move_metric metric) const;
    latency_histogram& latency(move_metric metric);

    event_count failure_count() const { return {this->failures, this->requests}; }

    /// Counts the calls that are slower than the upper bound of bucket `edge`. The gaps between
    /// the tokens of one request depend on each other, so they count as one call.
    event_count slower_than(move_metric metric, std::size_t edge) const;
};

/// Counts of the new (candidate) and the old (stable) version.
struct paired_counts
{
    version_counts candidate;
    version_counts stable;

    void add(paired_counts const& other)
    {
        this->candidate.add(other.candidate);
        this->stable.add(other.stable);
    }
};

/// Returns the fraction of the calls that are slower than the upper bound of bucket `edge`
/// divided by `factor`. The logarithms of the latencies in a bucket are assumed to be
/// distributed uniformly.
double tail_fraction(latency_histogram const& histogram, std::size_t edge, double factor);

} // namespace lagoonladder::version

#endif
