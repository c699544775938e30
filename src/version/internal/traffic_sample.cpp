#include <lagoonladder/version/traffic_sample.hpp>

#include <algorithm>
#include <limits>
#include <numeric>
#include <vector>

namespace lagoonladder::version
{

namespace
{

duration upper_bound(std::size_t bucket)
{
    return milliseconds(std::int64_t{1} << bucket);
}

std::uint32_t saturated_sum(std::uint32_t left, std::uint32_t right)
{
    return left + std::min(right, std::numeric_limits<std::uint32_t>::max() - left);
}

} // namespace

void latency_histogram::add(duration value)
{
    std::size_t bucket = 0;
    while (bucket + 1 < bucket_count && value >= upper_bound(bucket))
        ++bucket;
    this->counts[bucket] = saturated_sum(this->counts[bucket], 1);
}

void latency_histogram::add(latency_histogram const& other)
{
    for (std::size_t i = 0; i < bucket_count; ++i)
        this->counts[i] = saturated_sum(this->counts[i], other.counts[i]);
}

std::uint64_t latency_histogram::total() const
{
    return std::accumulate(this->counts.begin(), this->counts.end(), std::uint64_t{0});
}

duration latency_histogram::quantile(double fraction) const
{
    auto const total_count = this->total();
    if (total_count == 0)
        return duration(0);
    auto const target_count = std::clamp(fraction, 0.0, 1.0) * static_cast<double>(total_count);
    std::uint64_t cumulative_count = 0;
    for (std::size_t i = 0; i < bucket_count; ++i)
    {
        cumulative_count += this->counts[i];
        if (cumulative_count > 0 && static_cast<double>(cumulative_count) >= target_count)
            return upper_bound(i);
    }
    return upper_bound(bucket_count - 1);
}

void to_json(nlohmann::json& out, latency_histogram const& in)
{
    auto const last = std::find_if(in.counts.rbegin(), in.counts.rend(),
                                   [](std::uint32_t count) { return count != 0; });
    out = std::vector<std::uint32_t>(in.counts.begin(), last.base());
}

void from_json(nlohmann::json const& in, latency_histogram& out)
{
    auto const counts = in.get<std::vector<std::uint32_t>>();
    if (counts.size() > latency_histogram::bucket_count)
        throw parse_error("a latency histogram has too many buckets");
    out = {};
    std::copy(counts.begin(), counts.end(), out.counts.begin());
}

void to_json(nlohmann::json& out, traffic_sample const& in)
{
    out = {{"service", in.service},
           {"version", in.version},
           {"route", in.route},
           {"requests", in.requests},
           {"sent", in.sent},
           {"failures", in.failures},
           {"open", in.open},
           {"first_token", in.first_token},
           {"between_tokens", in.between_tokens},
           {"whole_call", in.whole_call}};
}

void from_json(nlohmann::json const& in, traffic_sample& out)
{
    in.at("service").get_to(out.service);
    in.at("version").get_to(out.version);
    in.at("route").get_to(out.route);
    in.at("requests").get_to(out.requests);
    in.at("failures").get_to(out.failures);
    // Entries of earlier releases report neither the calls that they send nor open calls.
    out.sent = in.value("sent", out.requests);
    out.open = in.value("open", 0);
    in.at("first_token").get_to(out.first_token);
    in.at("between_tokens").get_to(out.between_tokens);
    in.at("whole_call").get_to(out.whole_call);
}

} // namespace lagoonladder::version
