#include <lagoonladder/version/capacity_plan.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace lagoonladder::version
{

namespace
{

replica_counts serving_in(capacity_inputs const& now, data_centre_id const& data_centre)
{
    auto const found = now.serving.find(data_centre);
    return found == now.serving.end() ? replica_counts() : found->second;
}

/// Data centres in the order in which on-demand replicas are kept or added: those that
/// run some first, since a start takes time, then by price.
std::vector<data_centre_id> on_demand_order(capacity_inputs const& now)
{
    std::vector<data_centre_id> order;
    for (auto const& [data_centre, price] : now.limits.prices)
        order.push_back(data_centre);
    auto const rank = [&](data_centre_id const& id)
    { return std::make_pair(serving_in(now, id).on_demand == 0, now.limits.prices.at(id)); };
    std::stable_sort(order.begin(), order.end(),
                     [&](auto const& left, auto const& right) { return rank(left) < rank(right); });
    return order;
}

std::uint32_t engines_for(double demand, capacity_options const& options)
{
    return std::max(1U, static_cast<std::uint32_t>(std::ceil(demand / options.tokens_per_engine)));
}

/// Replicas of one data centre so that the other ones together are `needed`.
std::uint32_t share_with_one_lost(std::uint32_t needed, std::size_t data_centres)
{
    auto const remaining = static_cast<std::uint32_t>(std::max<std::size_t>(1, data_centres - 1));
    return (needed + remaining - 1) / remaining;
}

/// Adds on-demand replicas, at most to the limit of each data centre.
void add_on_demand(capacity_inputs const& now, std::uint32_t wanted, capacity_by_data_centre& plan)
{
    std::uint32_t ordered = 0;
    for (auto const& [data_centre, order] : plan)
        ordered += order.on_demand;
    for (auto const& data_centre : on_demand_order(now))
    {
        auto& order = plan[data_centre];
        auto const present =
            std::min(serving_in(now, data_centre).on_demand, now.limits.max_replicas);
        auto const room = std::max(present, order.on_demand) - order.on_demand;
        auto const kept = std::min(room, wanted - std::min(wanted, ordered));
        order.on_demand += kept;
        ordered += kept;
    }
    // What is not there yet is spread, so that one data centre's loss takes little.
    while (ordered < wanted)
    {
        bool has_room = false;
        for (auto const& data_centre : on_demand_order(now))
        {
            auto& order = plan[data_centre];
            if (ordered >= wanted || order.on_demand >= now.limits.max_replicas)
                continue;
            ++order.on_demand;
            ++ordered;
            has_room = true;
        }
        if (!has_room)
            return;
    }
}

} // namespace

capacity_by_data_centre plan_capacity(capacity_inputs const& now, capacity_options const& options)
{
    auto const& limits = now.limits;
    auto const needed = engines_for(now.demand, options);
    bool const uses_reclaimable = limits.reclaimable_price < 1;
    auto const base =
        uses_reclaimable
            ? static_cast<std::uint32_t>(std::ceil(needed * options.on_demand_fraction))
            : needed;
    auto const share =
        std::min(share_with_one_lost(needed - std::min(needed, base), limits.prices.size()),
                 limits.max_replicas);
    capacity_by_data_centre plan;
    std::uint32_t reclaimable_present = 0;
    for (auto const& [data_centre, price] : limits.prices)
    {
        auto const present = std::min(serving_in(now, data_centre).reclaimable, share);
        auto& order = plan[data_centre];
        order.reclaimable = share;
        // The least number holds for both kinds together, and for what is there now.
        order.on_demand = limits.min_replicas > present ? limits.min_replicas - present : 0;
        reclaimable_present += present;
    }
    // A reclaim is over before many new replicas have started.
    auto const least_needed =
        static_cast<std::uint32_t>(std::ceil(needed * options.min_served_fraction));
    auto const missing = least_needed - std::min(least_needed, reclaimable_present);
    add_on_demand(now, std::max(base, missing), plan);
    // Both kinds together stay within the limit.
    for (auto& [data_centre, order] : plan)
        order.reclaimable =
            std::min(order.reclaimable,
                     limits.max_replicas - std::min(limits.max_replicas, order.on_demand));
    return plan;
}

} // namespace lagoonladder::version
