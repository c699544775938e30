#ifndef LAGOONLADDER_VERSION_METRIC_TEST_HPP
#define LAGOONLADDER_VERSION_METRIC_TEST_HPP

#include "version_counts.hpp"

namespace lagoonladder::version
{

/// Tests whether the new version is worse in one metric, on one route or on all routes pooled.
class metric_test
{
public:
    explicit metric_test(move_metric tested_metric);

    /// Adds the counts of one interval. `earlier_counts` are those of the old version in the
    /// earlier intervals of the move. `use_reference` enables the comparison with them, for use
    /// while the old version has little traffic. `limit` bounds the evidence of the interval, in
    /// nats.
    void add(paired_counts const& interval, version_counts const& earlier_counts,
             bool use_reference, double limit);

    /// Returns the evidence of the stronger one of both tests, in nats.
    double evidence() const;

    /// Continues from the evidence that an earlier leader has stored.
    void restore(double evidence);

    /// Number of tests of a metric, concurrent and reference. The error rate of the move is
    /// divided among the tests of all metrics.
    static constexpr std::size_t tests_per_metric = 2;

private:
    void add_failures(paired_counts const& interval, version_counts const& earlier_counts,
                      bool use_reference, double limit);
    void add_latency(paired_counts const& interval, version_counts const& earlier_counts,
                     bool use_reference, double limit);

    move_metric metric;
    /// Compares both versions in the same interval.
    restart_mixture concurrent_mixture;
    /// Compares the new version with earlier figures of the old one.
    restart_mixture reference_mixture;
};

} // namespace lagoonladder::version

#endif
