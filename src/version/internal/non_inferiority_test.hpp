#ifndef LAGOONLADDER_VERSION_NON_INFERIORITY_TEST_HPP
#define LAGOONLADDER_VERSION_NON_INFERIORITY_TEST_HPP

#include <algorithm>

#include "version_counts.hpp"

namespace lagoonladder::version
{

/// Evidence that a version is not worse than the old one by a margin that callers would notice.
///
/// The evidence is the log likelihood ratio of "as good as the old version" against "worse by the
/// margin" over the recent calls of the new version. Both of its bounds keep earlier calls from
/// outweighing a change in the recent ones.
class non_inferiority_test
{
public:
    /// The test is passed once it has `needed_evidence`, in nats, and failed again when it has lost
    /// a large part of it.
    explicit non_inferiority_test(double needed_evidence)
        : needed(needed_evidence)
    {
    }

    /// Adds the calls of an interval. `reference` are the calls of the old version in this move.
    void add_failures(version_counts const& candidate, version_counts const& reference);
    /// A version is worse if all of its calls take `bad_slowdown` times as long, or if a part of
    /// them takes even longer.
    void add_latency(move_metric metric, version_counts const& candidate,
                     version_counts const& reference, double bad_slowdown);

    bool is_passed() const { return this->passed; }

    /// Returns the evidence against the more likely one of both ways to be worse, in nats.
    double evidence() const { return std::min(this->all_calls, this->some_calls); }

    /// Continues from the value that an earlier leader has stored.
    void restore(double stored_value);

private:
    void add(double all_calls_gain, double some_calls_gain);

    double needed;
    /// Evidence that not all calls are worse.
    double all_calls = 0;
    /// Evidence that not a part of the calls is much worse.
    double some_calls = 0;
    bool passed = false;
};

} // namespace lagoonladder::version

#endif
