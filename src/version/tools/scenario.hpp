#ifndef LAGOONLADDER_VERSION_TOOLS_SCENARIO_HPP
#define LAGOONLADDER_VERSION_TOOLS_SCENARIO_HPP

#include <string>
#include <vector>

#include <lagoonladder/version.hpp>

namespace lagoonladder::version::study
{

/// How the new version of a run is worse than the old one.
enum class fault_kind
{
    none,
    failing_at_once,
    slow_at_once,
    failing_later,
    bad_under_load,
    bad_on_one_route
};

char const* fault_name(fault_kind kind);

/// Traffic of one route.
struct route_model
{
    std::string name;
    /// Fraction of the requests of the service.
    double weight = 1;
    /// Median latency of the complete call, in seconds.
    double median = 0.1;
    /// Standard deviation of the logarithm of the latency.
    double spread = 0.5;
};

/// Parameters of a run, which are drawn from its seed before it starts.
struct scenario
{
    /// Name of the customer whose service is modelled.
    std::string user;
    bool is_model_engine = false;
    int replicas = 9;
    std::vector<route_model> routes;
    /// Requests per second at all entries together.
    double rate = 10;
    double failure_rate = 0.002;
    /// Deviation per second of the logarithm of the latency, for each version independently.
    double own_noise = 0.02;
    /// Replicas lost per second, of all replicas together.
    double replica_losses = 0.001;
    duration total_time{};
    duration watch{};

    fault_kind fault = fault_kind::none;
    /// Probability that a call of the bad version fails because of its fault.
    double fault_failures = 0;
    /// Factor on the latency of the bad version.
    double fault_slowdown = 1;
    /// Seconds after the start of the move, for failing_later.
    double fault_after = 0;
    /// Share from which the fault is active, for bad_under_load.
    double fault_share = 0;
    /// The only route with the fault; empty for all routes.
    std::string fault_route;
    /// Factor on the latency of the new version, apart from its fault. `startup_slowdown` is a
    /// further factor in its first seconds.
    double slowdown = 1;
    double startup_slowdown = 1;
    double startup_seconds = 0;
    /// Seconds after the start at which the leader changes; negative if it does not.
    double leader_change = -1;
    /// Seconds without a leader.
    double leader_gap = 0;
};

/// Draws the parameters of a run whose new version has this kind of fault.
scenario draw_scenario(fault_kind fault, random_source& random);

/// Returns a normally distributed value with mean 0 and standard deviation 1.
double draw_normal(random_source& random);

/// Returns a Poisson-distributed value.
std::uint32_t draw_poisson(random_source& random, double mean);

} // namespace lagoonladder::version::study

#endif
