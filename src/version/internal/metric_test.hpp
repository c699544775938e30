#ifndef LAGOONLADDER_VERSION_METRIC_TEST_HPP
#define LAGOONLADDER_VERSION_METRIC_TEST_HPP

#include "version_counts.hpp"

namespace lagoonladder::version
{

/// Tests whether the new version is worse in one metric, on one route or on all pooled.
class metric_test
{
public:
    explicit metric_test(move_metric tested);

    /// Adds the counts of one interval. `past` are the counts of the old version in the earlier
    /// intervals of the move. `use_reference` enables the comparison with them, for use while
    /// the old version has little traffic. `limit` bounds the evidence of the interval, in nats.
    void add(paired_counts const& interval, version_counts const& past, bool use_reference,
             double limit);

    /// Returns the evidence of the stronger one of both tests, in nats.
    double evidence() const;

    /// Continues from the evidence that an earlier leader has stored.
    void restore(double evidence);

    /// Number of tests among which the error rate of the move is divided.
    static constexpr std::size_t count = 2;

private:
    void add_failures(paired_counts const& interval, version_counts const& past, bool use_reference,
                      double limit);
    void add_latency(paired_counts const& interval, version_counts const& past, bool use_reference,
                     double limit);

    move_metric metric;
    /// Compares both versions in the same interval.
    restart_mixture concurrent;
    /// Compares the new version with earlier figures of the old one.
    restart_mixture reference;
};

} // namespace lagoonladder::version

#endif
