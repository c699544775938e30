#include <lagoonladder/observability/metrics.hpp>

#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace lagoonladder::observability
{

namespace
{

constexpr char const* name_prefix = "lagoonladder_";

prometheus::Histogram::BucketBoundaries latency_buckets()
{
    prometheus::Histogram::BucketBoundaries bounds;
    for (double bound = 0.0005; bound < 100; bound *= 2)
        bounds.push_back(bound);
    return bounds;
}

} // namespace

struct metrics::implementation
{
    prometheus::Registry registry;
    std::mutex mutex;
    std::map<std::string, prometheus::Family<prometheus::Counter>*> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms;

    template <class Metric, class Builder>
    prometheus::Family<Metric>& family(std::map<std::string, prometheus::Family<Metric>*>& families,
                                       std::string const& name, Builder builder)
    {
        std::lock_guard const lock(this->mutex);
        auto& slot = families[name];
        if (!slot)
            slot = &builder.Name(name_prefix + name).Register(this->registry);
        return *slot;
    }
};

metrics::metrics()
    : state(std::make_unique<implementation>())
{
}
metrics::~metrics() = default;

void metrics::add(std::string const& name, metric_labels const& labels, double amount)
{
    this->state->family(this->state->counters, name, prometheus::BuildCounter())
        .Add(labels)
        .Increment(amount);
}

void metrics::set(std::string const& name, metric_labels const& labels, double value)
{
    this->state->family(this->state->gauges, name, prometheus::BuildGauge()).Add(labels).Set(value);
}

void metrics::observe_seconds(std::string const& name, metric_labels const& labels, double seconds)
{
    this->state->family(this->state->histograms, name, prometheus::BuildHistogram())
        .Add(labels, latency_buckets())
        .Observe(seconds);
}

std::string metrics::expose() const
{
    return prometheus::TextSerializer().Serialize(this->state->registry.Collect());
}

} // namespace lagoonladder::observability
