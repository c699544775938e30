#include "load_report.hpp"

namespace lagoonladder::fakes
{

void to_json(nlohmann::json& out, load_sample const& in)
{
    out = {{"running", in.running},
           {"waiting", in.waiting},
           {"slots", in.slots},
           {"tokens_per_second", in.tokens_per_second}};
}

lagging_load::lagging_load(duration initial_lag)
    : lag(initial_lag)
{
}

void lagging_load::record(time_point now, load_sample const& sample)
{
    this->samples.push_back({now, sample});
    this->discard_outdated(now);
}

load_sample lagging_load::at(time_point now)
{
    this->discard_outdated(now);
    return this->samples.empty() ? load_sample() : this->samples.front().sample;
}

void lagging_load::discard_outdated(time_point now)
{
    while (this->samples.size() > 1 && this->samples[1].time + this->lag <= now)
        this->samples.pop_front();
}

} // namespace lagoonladder::fakes
