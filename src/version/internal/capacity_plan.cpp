#include <lagoonladder/version/capacity_plan.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace lagoonladder::version
{

namespace
{

replica_counts serving_replicas(capacity_inputs const& inputs, data_centre_id const& data_centre)
{
    auto const found = inputs.serving.find(data_centre);
    return found == inputs.serving.end() ? replica_counts() : found->second;
}

/// Returns the data centres in the order in which on-demand replicas are kept or added:
/// first those that already run some, because starting one takes time, then by price.
std::vector<data_centre_id> on_demand_order(capacity_inputs const& inputs)
{
    std::vector<data_centre_id> sorted;
    for (auto const& [data_centre, price] : inputs.limits.prices)
        sorted.push_back(data_centre);
    auto const rank = [&](data_centre_id const& id)
    {
        return std::make_pair(serving_replicas(inputs, id).on_demand == 0,
                              inputs.limits.prices.at(id));
    };
    std::stable_sort(sorted.begin(), sorted.end(),
                     [&](auto const& left, auto const& right) { return rank(left) < rank(right); });
    return sorted;
}

/// Returns the number of engines that serve a demand in tokens per second, at least 1.
std::uint32_t engines_for(double demand, capacity_options const& options)
{
    return std::max(1U, static_cast<std::uint32_t>(std::ceil(demand / options.tokens_per_engine)));
}

/// Returns how many replicas each data centre needs so that `needed_replicas` remain when
/// one data centre is lost.
std::uint32_t replicas_per_data_centre(std::uint32_t needed_replicas, std::size_t data_centres)
{
    auto const remaining = static_cast<std::uint32_t>(std::max<std::size_t>(1, data_centres - 1));
    return (needed_replicas + remaining - 1) / remaining;
}

/// Adds on-demand replicas to the plan until it has `target` of them or all data centres
/// have reached their limit.
void add_on_demand(capacity_inputs const& inputs, std::uint32_t target,
                   capacity_by_data_centre& plan)
{
    std::uint32_t planned_count = 0;
    for (auto const& [data_centre, counts] : plan)
        planned_count += counts.on_demand;
    for (auto const& data_centre : on_demand_order(inputs))
    {
        auto& counts = plan[data_centre];
        auto const present =
            std::min(serving_replicas(inputs, data_centre).on_demand, inputs.limits.max_replicas);
        auto const spare_count = std::max(present, counts.on_demand) - counts.on_demand;
        auto const kept_count = std::min(spare_count, target - std::min(target, planned_count));
        counts.on_demand += kept_count;
        planned_count += kept_count;
    }
    // Spread new replicas over the data centres, so that losing one costs few of them.
    while (planned_count < target)
    {
        bool was_added = false;
        for (auto const& data_centre : on_demand_order(inputs))
        {
            auto& counts = plan[data_centre];
            if (planned_count >= target || counts.on_demand >= inputs.limits.max_replicas)
                continue;
            ++counts.on_demand;
            ++planned_count;
            was_added = true;
        }
        if (!was_added)
            return;
    }
}

/// Returns the inputs for the data centres that are not evacuated.
capacity_inputs without_evacuated(capacity_inputs inputs)
{
    for (auto const& data_centre : inputs.evacuated)
        inputs.limits.prices.erase(data_centre);
    inputs.evacuated.clear();
    return inputs;
}

} // namespace

capacity_by_data_centre plan_capacity(capacity_inputs const& inputs,
                                      capacity_options const& options)
{
    if (!inputs.evacuated.empty())
        return plan_capacity(without_evacuated(inputs), options);
    auto const& limits = inputs.limits;
    auto const needed_engines = engines_for(inputs.demand, options);
    bool const uses_reclaimable = limits.reclaimable_price < 1;
    auto const min_on_demand =
        uses_reclaimable
            ? static_cast<std::uint32_t>(std::ceil(needed_engines * options.on_demand_fraction))
            : needed_engines;
    auto const reclaimable_per_data_centre =
        std::min(replicas_per_data_centre(needed_engines - std::min(needed_engines, min_on_demand),
                                          limits.prices.size()),
                 limits.max_replicas);
    capacity_by_data_centre plan;
    std::uint32_t reclaimable_present = 0;
    for (auto const& [data_centre, price] : limits.prices)
    {
        auto const present = std::min(serving_replicas(inputs, data_centre).reclaimable,
                                      reclaimable_per_data_centre);
        auto& counts = plan[data_centre];
        counts.reclaimable = reclaimable_per_data_centre;
        // The minimum applies to both kinds together, counting the replicas that serve now.
        counts.on_demand = limits.min_replicas > present ? limits.min_replicas - present : 0;
        reclaimable_present += present;
    }
    // A reclaim may end before many new replicas have started, so at a min_served_fraction below
    // 1 only some of the reclaimed replicas are replaced at once.
    auto const min_engines =
        static_cast<std::uint32_t>(std::ceil(needed_engines * options.min_served_fraction));
    auto const missing_engines = min_engines - std::min(min_engines, reclaimable_present);
    add_on_demand(inputs, std::max(min_on_demand, missing_engines), plan);
    // The maximum applies to both kinds together.
    for (auto& [data_centre, counts] : plan)
        counts.reclaimable =
            std::min(counts.reclaimable,
                     limits.max_replicas - std::min(limits.max_replicas, counts.on_demand));
    return plan;
}

} // namespace lagoonladder::version
