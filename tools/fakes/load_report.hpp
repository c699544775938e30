#ifndef LAGOONLADDER_FAKES_LOAD_REPORT_HPP
#define LAGOONLADDER_FAKES_LOAD_REPORT_HPP

#include <cstdint>
#include <deque>

#include <nlohmann/json.hpp>

#include <lagoonladder/base.hpp>

namespace lagoonladder::fakes
{

/// Load of an endpoint at one time.
struct load_sample
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    double tokens_per_second = 0;
};

void to_json(nlohmann::json& out, load_sample const& in);

/// Delayed load report: returns the load as it was `lag` ago. Not thread-safe.
class lagging_load
{
public:
    explicit lagging_load(duration initial_lag);

    void record(time_point now, load_sample const& sample);
    load_sample at(time_point now);

private:
    struct timestamped_sample
    {
        time_point time;
        load_sample sample;
    };

    void discard_outdated(time_point now);

    duration lag;
    std::deque<timestamped_sample> samples;
};

} // namespace lagoonladder::fakes

#endif
