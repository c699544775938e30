#ifndef LAGOONLADDER_OBSERVABILITY_METRICS_HPP
#define LAGOONLADDER_OBSERVABILITY_METRICS_HPP

#include <map>
#include <memory>
#include <string>

namespace lagoonladder::observability
{

using metric_labels = std::map<std::string, std::string>;

/// Counters, gauges and histograms of the process, kept by prometheus-cpp.
/// Exposed names have the prefix "lagoonladder_". All functions may be called from any thread.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;

    /// Increments a counter.
    void add(std::string const& name, metric_labels const& labels = {}, double amount = 1);
    /// Sets a gauge.
    void set(std::string const& name, metric_labels const& labels, double value);
    /// Records a duration in seconds in a histogram with buckets from 0.5 ms to 65 s.
    void observe_seconds(std::string const& name, metric_labels const& labels, double seconds);

    /// Returns all metrics in the Prometheus text format, for GET /metrics.
    std::string expose() const;

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};

} // namespace lagoonladder::observability

#endif
