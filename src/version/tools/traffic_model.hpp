#ifndef LAGOONLADDER_VERSION_TOOLS_TRAFFIC_MODEL_HPP
#define LAGOONLADDER_VERSION_TOOLS_TRAFFIC_MODEL_HPP

#include <map>

#include "scenario.hpp"

namespace lagoonladder::version::study
{

/// Generates the traffic samples of one service during a move, second by second.
class traffic_model
{
public:
    traffic_model(scenario const& drawn, random_source& source);

    /// Returns the samples that the leader receives after second `second`, in which the new
    /// version had `share` of the traffic.
    std::vector<traffic_sample> run_second(int second, double share);

    std::uint64_t candidate_requests() const { return this->sent_to_candidate; }

private:
    /// Failure probability and latency factor of one version during one second.
    struct condition
    {
        double failures = 0;
        double slowdown = 1;
    };

    condition draw_condition(bool is_candidate, int second, double share);
    void add_fault(condition& target, route_model const& route, int second, double share) const;
    void add_call(traffic_sample& sample, route_model const& route, condition const& now);
    std::vector<traffic_sample> collect(int second);

    scenario const& settings;
    random_source& random;
    std::uint64_t sent_to_candidate = 0;
    double common_noise = 0;
    double own_noise[2] = {0, 0};
    int replica_loss_until[2] = {-1, -1};
    /// Reports that are still to be delivered, by the second in which they arrive.
    std::map<int, std::vector<traffic_sample>> arriving;
};

} // namespace lagoonladder::version::study

#endif
