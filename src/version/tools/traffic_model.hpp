#ifndef LAGOONLADDER_VERSION_TOOLS_TRAFFIC_MODEL_HPP
#define LAGOONLADDER_VERSION_TOOLS_TRAFFIC_MODEL_HPP

#include <map>

#include "scenario.hpp"

namespace lagoonladder::version::study
{

/// Traffic of one service during a move, second by second.
class traffic_model
{
public:
    traffic_model(scenario const& drawn, random_source& source);

    /// The samples that reach the leader after second `second`, in which the new
    /// version had `share` of the traffic.
    std::vector<traffic_sample> run_second(int second, double share);

    std::uint64_t fresh_requests() const { return this->sent_to_fresh; }

private:
    /// State of one version that holds for one second.
    struct condition
    {
        double failures = 0;
        double slowdown = 1;
    };

    condition draw_condition(bool fresh, int second, double share);
    void add_fault(condition& target, route_model const& route, int second, double share) const;
    void add_call(traffic_sample& sample, route_model const& route, condition const& now);
    std::vector<traffic_sample> collect(int second);

    scenario const& setup;
    random_source& random;
    std::uint64_t sent_to_fresh = 0;
    double common_noise = 0;
    double own_noise[2] = {0, 0};
    int loss_until[2] = {-1, -1};
    std::map<int, std::vector<traffic_sample>> arriving;
};

} // namespace lagoonladder::version::study

#endif
