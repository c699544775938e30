#ifndef LAGOONLADDER_VERSION_TRAFFIC_SAMPLE_HPP
#define LAGOONLADDER_VERSION_TRAFFIC_SAMPLE_HPP

#include <array>
#include <cstdint>

#include <nlohmann/json.hpp>

#include <lagoonladder/base.hpp>

namespace lagoonladder::version
{

/// Latency counts in buckets that double: bucket i holds values below
/// 1 ms * 2^i; the last one holds all larger values.
struct latency_histogram
{
    static constexpr std::size_t bucket_count = 20;
    std::array<std::uint32_t, bucket_count> counts{};

    void add(duration value);
    void add(latency_histogram const& other);
    std::uint64_t total() const;
    /// Upper bound of the bucket that holds the quantile (0 to 1); zero when empty.
    duration quantile(double share) const;
};

/// What one entry saw of one version on one route during one interval.
struct traffic_sample
{
    service_name service;
    version_name version;
    route_name route;
    std::uint32_t requests = 0;
    /// Answers with status 500 and above, broken streams and timeouts.
    std::uint32_t failures = 0;
    /// Calls sent to the version less those that have ended since, for whatever reason.
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
