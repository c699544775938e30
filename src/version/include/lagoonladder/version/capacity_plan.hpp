#ifndef LAGOONLADDER_VERSION_CAPACITY_PLAN_HPP
#define LAGOONLADDER_VERSION_CAPACITY_PLAN_HPP

#include <cstdint>
#include <map>
#include <set>

#include <lagoonladder/version/service_map.hpp>

namespace lagoonladder::version
{

/// Number of replicas of one service in one data centre, by kind of VM.
struct replica_counts
{
    std::uint32_t on_demand = 0;
    std::uint32_t reclaimable = 0;

    friend bool operator==(replica_counts const&, replica_counts const&) = default;
};

using capacity_by_data_centre = std::map<data_centre_id, replica_counts>;

struct capacity_options
{
    /// Prompt and output tokens per second that one engine serves in time.
    double tokens_per_engine = 30'000;
    /// Fraction of the demand that on-demand replicas serve at all times, because the
    /// reclaimable ones of several data centres may be reclaimed within seconds.
    double on_demand_fraction = 0.2;
    /// Fraction of the demand that must be served. On-demand replicas are started for it
    /// while reclaimable ones are not available.
    double min_served_fraction = 1.0;
};

/// Inputs of plan_capacity for one service.
struct capacity_inputs
{
    scaling_limits limits;
    /// Replicas that accept requests at present.
    capacity_by_data_centre serving;
    /// Tokens per second that callers request.
    double demand = 0;
    /// Data centres whose replicas receive no requests. The plan leaves them out.
    std::set<data_centre_id> evacuated;
};

/// Returns the number of replicas to order in each data centre that the limits list and that is
/// not evacuated.
///
/// On-demand replicas serve a fixed fraction of the demand. Reclaimable ones serve the rest
/// if they are cheaper; each data centre gets enough of them that the other data centres
/// suffice when one loses its replicas. On-demand replicas also replace the reclaimable
/// ones that do not serve at present.
capacity_by_data_centre plan_capacity(capacity_inputs const& inputs,
                                      capacity_options const& options = {});

} // namespace lagoonladder::version

#endif
