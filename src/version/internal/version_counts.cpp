#include "version_counts.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lagoonladder::version
{

char const* metric_name(move_metric metric)
{
    switch (metric)
    {
    case move_metric::failures:
        return "failures";
    case move_metric::first_token:
        return "first_token";
    case move_metric::between_tokens:
        return "between_tokens";
    case move_metric::whole_call:
        return "whole_call";
    }
    return "";
}

void version_counts::add(traffic_sample const& sample)
{
    this->requests += sample.requests;
    this->sent += sample.sent;
    this->failures += std::min(sample.failures, sample.requests);
    this->open += sample.open;
    this->latencies[0].add(sample.first_token);
    this->latencies[1].add(sample.between_tokens);
    this->latencies[2].add(sample.whole_call);
}

void version_counts::add(version_counts const& other)
{
    this->requests += other.requests;
    this->sent += other.sent;
    this->failures += other.failures;
    this->open += other.open;
    for (std::size_t i = 0; i < this->latencies.size(); ++i)
        this->latencies[i].add(other.latencies[i]);
}

latency_histogram const& version_counts::latency(move_metric metric) const
{
    return this->latencies.at(static_cast<std::size_t>(metric) - 1);
}

latency_histogram& version_counts::latency(move_metric metric)
{
    return this->latencies.at(static_cast<std::size_t>(metric) - 1);
}

event_count version_counts::slower_than(move_metric metric, std::size_t edge) const
{
    auto const& counts = this->latency(metric).counts;
    auto const first = counts.begin() + static_cast<std::ptrdiff_t>(edge) + 1;
    event_count result{std::accumulate(first, counts.end(), 0.0),
                       std::accumulate(counts.begin(), counts.end(), 0.0)};
    if (result.total > this->requests && result.total > 0)
    {
        result.events *= this->requests / result.total;
        result.total = this->requests;
    }
    return result;
}

double tail_fraction(latency_histogram const& histogram, std::size_t edge, double factor)
{
    auto const total = static_cast<double>(histogram.total());
    if (total <= 0)
        return 0;
    auto const position = std::max(0.0, static_cast<double>(edge) + 1 - std::log2(factor));
    auto const bucket = static_cast<std::size_t>(position);
    auto const fraction_below = position - static_cast<double>(bucket);
    double above = 0;
    for (std::size_t i = bucket; i < latency_histogram::bucket_count; ++i)
        above += histogram.counts[i] * (i == bucket ? 1 - fraction_below : 1);
    return above / total;
}

} // namespace lagoonladder::version
