#ifndef LAGOONLADDER_FAKES_LOAD_REPORT_HPP
#define LAGOONLADDER_FAKES_LOAD_REPORT_HPP

#include <cstdint>
#include <deque>

#include <nlohmann/json.hpp>

#include <lagoonladder/base.hpp>

namespace lagoonladder::fakes
{

struct load_sample
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    double tokens_per_second = 0;
};

void to_json(nlohmann::json& out, load_sample const& in);

/// Load as an endpoint reports it: as it was `lag` ago. Not safe for several threads.
class lagging_load
{
public:
    explicit lagging_load(duration initial_lag);

    void record(time_point now, load_sample const& sample);
    load_sample at(time_point now);

private:
    struct dated_sample
    {
        time_point when;
        load_sample sample;
    };

    void forget(time_point now);

    duration lag;
    std::deque<dated_sample> samples;
};

} // namespace lagoonladder::fakes

#endif
