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
    traffic_model(scenario const& scenario_of_run, random_source& source);

    /// Returns the samples that the leader receives after second `second`, in which the new
    /// version had `share` of the traffic.
    std::vector<traffic_sample> run_second(int second, double share);

    std::uint64_t candidate_requests() const { return this->sent_to_candidate; }

private:
    /// Failure probability and latency factor of one version during one second.
    struct version_condition
    {
        double failures = 0;
        double slowdown = 1;
    };

    version_condition draw_condition(bool is_candidate, int second, double share);
    void add_fault(version_condition& target, route_model const& route, int second,
                   double share) const;
    void add_call(traffic_sample& sample, route_model const& route,
                  version_condition const& condition);
    /// Removes and returns the samples of the reports that have arrived.
    std::vector<traffic_sample> take_arrived_samples(int second);

    scenario const& settings;
    random_source& random;
    std::uint64_t sent_to_candidate = 0;
    double common_noise = 0;
    /// By version: 0 is the old one, 1 the new one.
    double own_noise[2] = {0, 0};
    int replica_loss_until[2] = {-1, -1};
    /// Reports that have not arrived, by the second in which they arrive.
    std::map<int, std::vector<traffic_sample>> pending_reports;
};

} // namespace lagoonladder::version::study

#endif
