#ifndef LAGOONLADDER_VERSION_METRIC_TEST_HPP
#define LAGOONLADDER_VERSION_METRIC_TEST_HPP

#include "version_counts.hpp"

namespace lagoonladder::version
{

/// Tests one metric of one route, or pooled, for a worse new version.
class metric_test
{
public:
    explicit metric_test(move_metric tested);

    /// Adds one interval. `past` holds the earlier intervals of the move; the
    /// reference test runs only where the old version has little traffic.
    void add(paired_counts const& interval, version_counts const& past, bool use_reference,
             double limit);

    /// Logarithm of the larger one of both tests, in nats.
    double evidence() const;

    /// Continues from an evidence that an earlier leader stored.
    void restore(double evidence);

    /// Tests that share the error rate of the move.
    static constexpr std::size_t count = 2;

private:
    void add_failures(paired_counts const& interval, version_counts const& past, bool use_reference,
                      double limit);
    void add_latency(paired_counts const& interval, version_counts const& past, bool use_reference,
                     double limit);

    move_metric metric;
    restart_mixture concurrent;
    restart_mixture reference;
};

} // namespace lagoonladder::version

#endif
