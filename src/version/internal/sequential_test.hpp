#ifndef LAGOONLADDER_VERSION_SEQUENTIAL_TEST_HPP
#define LAGOONLADDER_VERSION_SEQUENTIAL_TEST_HPP

#include <cstddef>
#include <vector>

namespace lagoonladder::version
{

/// Bad events (failures or slow calls) among all calls.
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

/// Log likelihood ratio of "the new version's rate is `ratio` times the old one's"
/// against "it is `tolerated` times", given how many events both had together.
/// A disturbance that hits both versions cancels out.
double concurrent_evidence(event_count const& candidate, event_count const& stable,
                           double tolerated, double ratio);

/// Log likelihood ratio of the rate `bad` against the rate `tolerated`.
double reference_evidence(event_count const& candidate, double tolerated, double bad);

/// Mixture of likelihood ratios over alternatives and over start intervals.
/// Under the null hypothesis its expectation never exceeds 1, so by Ville's
/// inequality it ever exceeds 1/a with probability a at most.
class restart_mixture
{
public:
    explicit restart_mixture(std::size_t alternatives)
        : values(alternatives, 0.0)
    {
    }

    /// Adds the weight of a start in this interval; called before add().
    void open_interval();

    /// Multiplies one alternative by exp(evidence), cut at `limit` nats.
    void add(std::size_t alternative, double evidence, double limit);

    /// Logarithm of the mixture.
    double log_value() const;

    /// Continues from a stored logarithm.
    void restore(double log_value);

private:
    std::vector<double> values;
    std::size_t intervals = 0;
};

} // namespace lagoonladder::version

#endif
