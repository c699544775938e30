#ifndef LAGOONLADDER_VERSION_NON_INFERIORITY_TEST_HPP
#define LAGOONLADDER_VERSION_NON_INFERIORITY_TEST_HPP

#include <algorithm>

#include "version_counts.hpp"

namespace lagoonladder::version
{

/// A route on which the old version fails more often says nothing about the failures of another
/// version.
constexpr double max_comparable_failure_rate = 0.6;

/// Evidence, in nats, that a version is not worse than the old one by a margin that callers would
/// notice: log likelihood ratios of "as good as the old version" against two ways to be worse.
struct non_inferiority_evidence
{
    /// Against all calls being worse.
    double all_calls = 0;
    /// Against a part of the calls being much worse.
    double some_calls = 0;

    void add(non_inferiority_evidence const& other)
    {
        this->all_calls += other.all_calls;
        this->some_calls += other.some_calls;
    }
    double weaker() const { return std::min(this->all_calls, this->some_calls); }
};

/// Returns the evidence of the candidate's calls on one route. `reference` are the calls of the old
/// version on it in this move. A version is worse if its failure rate is higher by `margin`.
non_inferiority_evidence failure_evidence(version_counts const& candidate,
                                          version_counts const& reference, double margin);

/// The same for the latencies. A version is worse if all of its calls take `bad_slowdown` times as
/// long, or if a part of them takes even longer.
non_inferiority_evidence latency_evidence(version_counts const& candidate,
                                          version_counts const& reference, move_metric metric,
                                          double bad_slowdown);

/// Returns whether callers would notice a slowdown by this factor of the calls on a route.
bool is_slowdown_noticeable(version_counts const& reference, move_metric metric,
                            double bad_slowdown);

/// Sums the evidence of the recent calls of the new version. Both bounds of the sum keep earlier
/// calls from outweighing a change in the recent ones.
class non_inferiority_test
{
public:
    /// The test is passed once it has `needed_evidence`, in nats, and failed again when it has lost
    /// a large part of it.
    explicit non_inferiority_test(double needed_evidence)
        : needed(needed_evidence)
    {
    }

    /// Adds the evidence of an interval.
    void add(non_inferiority_evidence const& interval);

    bool is_passed() const { return this->passed; }

    /// Returns the evidence against the more likely one of both ways to be worse, in nats.
    double evidence() const { return this->sum.weaker(); }

    /// Continues from the evidence that an earlier leader has stored.
    void restore(double stored_evidence);

private:
    double needed;
    non_inferiority_evidence sum;
    bool passed = false;
};

} // namespace lagoonladder::version

#endif
