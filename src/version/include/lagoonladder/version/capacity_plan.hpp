#ifndef LAGOONLADDER_VERSION_CAPACITY_PLAN_HPP
#define LAGOONLADDER_VERSION_CAPACITY_PLAN_HPP

#include <cstdint>
#include <map>

#include <lagoonladder/version/service_map.hpp>

namespace lagoonladder::version
{

/// Replicas of one service in one data centre, by kind of VM.
struct replica_counts
{
    std::uint32_t on_demand = 0;
    std::uint32_t reclaimable = 0;

    friend bool operator==(replica_counts const&, replica_counts const&) = default;
};

using capacity_by_data_centre = std::map<data_centre_id, replica_counts>;

struct capacity_options
{
    /// Demand in prompt and output tokens a second that one engine serves in time.
    double tokens_per_engine = 30'000;
    /// Part of the demand that on-demand replicas carry at all times: the reclaimable
    /// ones of several data centres may be taken away within seconds.
    double on_demand_fraction = 0.2;
    /// Part of the demand for which on-demand replicas are started while reclaimable ones
    /// are not to be had.
    double min_served_fraction = 1.0;
};

/// What the plan for one service is made from.
struct capacity_inputs
{
    scaling_limits limits;
    /// Replicas that take requests now.
    capacity_by_data_centre serving;
    /// Tokens a second that callers ask for.
    double demand = 0;
};

/// Replicas to order for each data centre of the limits.
///
/// On-demand replicas carry a part of the demand. Reclaimable ones carry the rest where
/// they are cheaper, with so many in each data centre that the others suffice when one is
/// reclaimed. On-demand replicas also fill what reclaimable ones do not serve at present.
capacity_by_data_centre plan_capacity(capacity_inputs const& now,
                                      capacity_options const& options = {});

} // namespace lagoonladder::version

#endif
