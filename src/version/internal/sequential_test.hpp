#ifndef LAGOONLADDER_VERSION_SEQUENTIAL_TEST_HPP
#define LAGOONLADDER_VERSION_SEQUENTIAL_TEST_HPP

#include <cstddef>
#include <vector>

namespace lagoonladder::version
{

/// Number of bad events (failures or slow calls) among all calls.
struct event_count
{
    double events = 0;
    double total = 0;

    void add(event_count const& other)
    {
        this->events += other.events;
        this->total += other.total;
    }
    double rate() const { return this->total > 0 ? this->events / this->total : 0; }
};

/// Returns the log likelihood ratio of the hypothesis that the new version's rate is `bad_ratio`
/// times the old one's against the hypothesis that it is `tolerated_ratio` times, given the sum
/// of the events of both. A disturbance that affects both versions cancels out.
double concurrent_evidence(event_count const& candidate, event_count const& stable,
                           double tolerated_ratio, double bad_ratio);

/// Returns the log likelihood ratio of the rate `bad_rate` against the rate `tolerated_rate`.
double reference_evidence(event_count const& candidate, double tolerated_rate, double bad_rate);

/// Mixture of likelihood ratios over alternatives and over the interval in which the fault
/// starts. Under the null hypothesis its expectation never exceeds 1, so by Ville's
/// inequality the probability that it ever exceeds 1/a is at most a.
class restart_mixture
{
public:
    explicit restart_mixture(std::size_t alternatives)
        : values(alternatives, 0.0)
    {
    }

    /// Adds the weight of a fault that starts in this interval. Called before add().
    void open_interval();

    /// Multiplies one alternative by exp(evidence). The evidence is limited to `limit` nats.
    void add(std::size_t alternative, double evidence, double limit);

    /// Returns the natural logarithm of the mixture.
    double log_value() const;

    /// Continues from the stored logarithm of an earlier mixture.
    void restore(double log_value);

private:
    std::vector<double> values;
    std::size_t intervals = 0;
};

} // namespace lagoonladder::version

#endif
