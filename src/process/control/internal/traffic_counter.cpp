#include "traffic_counter.hpp"

namespace lagoonladder::control
{

void traffic_counter::add(version::traffic_sample const& sample)
{
    std::lock_guard const lock(this->mutex);
    auto& sum = this->sums[{sample.service, sample.version, sample.route}];
    sum.service = sample.service;
    sum.version = sample.version;
    sum.route = sample.route;
    sum.requests += sample.requests;
    sum.sent += sample.sent;
    sum.failures += sample.failures;
    sum.open += sample.open;
    sum.first_token.add(sample.first_token);
    sum.between_tokens.add(sample.between_tokens);
    sum.whole_call.add(sample.whole_call);
}

std::vector<version::traffic_sample> traffic_counter::take()
{
    std::lock_guard const lock(this->mutex);
    std::vector<version::traffic_sample> taken;
    taken.reserve(this->sums.size());
    for (auto& [key, sum] : this->sums)
        taken.push_back(sum);
    this->sums.clear();
    return taken;
}

} // namespace lagoonladder::control
