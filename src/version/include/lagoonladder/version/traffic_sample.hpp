#ifndef LAGOONLADDER_VERSION_TRAFFIC_SAMPLE_HPP
#define LAGOONLADDER_VERSION_TRAFFIC_SAMPLE_HPP

#include <array>
#include <cstdint>

#include <nlohmann/json.hpp>

#include <lagoonladder/base.hpp>

namespace lagoonladder::version
{

/// Histogram of latencies whose bucket bounds double: bucket i counts values below
/// 1 ms * 2^i, and the last bucket all larger values.
struct latency_histogram
{
    static constexpr std::size_t bucket_count = 20;
    std::array<std::uint32_t, bucket_count> counts{};

    void add(duration value);
    void add(latency_histogram const& other);
    std::uint64_t total() const;
    /// Returns the upper bound of the bucket that contains the quantile `fraction` (0 to 1),
    /// or zero if the histogram is empty.
    duration quantile(double fraction) const;
};

/// Counts of the calls that one entry sent to one version on one route in one interval.
struct traffic_sample
{
    service_name service;
    version_name version;
    route_name route;
    /// Calls that ended in the interval with an outcome that counts for the comparison.
    std::uint32_t requests = 0;
    /// Calls that were sent to the version in the interval.
    std::uint32_t sent = 0;
    /// Responses with status 500 and above, broken streams and timeouts.
    std::uint32_t failures = 0;
    /// Calls sent to the version in the interval, minus the calls that ended in it for
    /// whatever reason.
    std::int32_t open = 0;
    latency_histogram first_token;
    latency_histogram between_tokens;
    latency_histogram whole_call;
};

void to_json(nlohmann::json& out, latency_histogram const& in);
void from_json(nlohmann::json const& in, latency_histogram& out);
void to_json(nlohmann::json& out, traffic_sample const& in);
void from_json(nlohmann::json const& in, traffic_sample& out);

} // namespace lagoonladder::version

#endif
