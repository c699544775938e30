#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/version.hpp>

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

capacity_inputs make_inputs(double demand)
{
    capacity_inputs inputs;
    inputs.limits.min_replicas = 1;
    inputs.limits.max_replicas = 6;
    inputs.limits.reclaimable_price = 0.2;
    inputs.limits.prices = {{data_centre_id("a"), 1.0},
                            {data_centre_id("b"), 0.8},
                            {data_centre_id("c"), 1.25},
                            {data_centre_id("d"), 0.9}};
    inputs.demand = demand;
    return inputs;
}

std::uint32_t total(capacity_by_data_centre const& plan, std::uint32_t replica_counts::*kind)
{
    std::uint32_t sum = 0;
    for (auto const& [data_centre, counts] : plan)
        sum += counts.*kind;
    return sum;
}

} // namespace

TEST_CASE("on-demand replicas stay until reclaimable ones serve")
{
    // Guards against stopping on-demand replicas while the cheaper replicas are still starting.
    capacity_options options;
    options.tokens_per_engine = 25'000;
    options.on_demand_fraction = 0.4;
    options.min_served_fraction = 0.7;
    auto inputs = make_inputs(200'000);
    for (auto const* name : {"a", "b", "c", "d"})
        inputs.serving[data_centre_id(name)] = {2, 0};
    auto const before = plan_capacity(inputs, options);
    // 0.7 of eight engines, while no reclaimable one serves.
    CHECK(total(before, &replica_counts::on_demand) == 6);
    CHECK(total(before, &replica_counts::reclaimable) == 8);
    for (auto& [data_centre, counts] : inputs.serving)
        counts.reclaimable = 2;
    // 0.4 of eight engines.
    CHECK(total(plan_capacity(inputs, options), &replica_counts::on_demand) == 4);
}

TEST_CASE("reclaimed data centres leave enough replicas")
{
    // Guards against too little capacity after several data centres are reclaimed within
    // seconds.
    capacity_options options;
    options.tokens_per_engine = 25'000;
    options.on_demand_fraction = 0.4;
    options.min_served_fraction = 0.7;
    auto inputs = make_inputs(200'000);
    for (auto const& [data_centre, counts] : plan_capacity(inputs, options))
        inputs.serving[data_centre] = {1, counts.reclaimable};
    inputs.serving[data_centre_id("b")].reclaimable = 0;
    auto const one_lost = plan_capacity(inputs, options);
    CHECK(total(one_lost, &replica_counts::on_demand) == 4);
    for (auto& [data_centre, counts] : inputs.serving)
        counts.reclaimable = 0;
    auto const all_lost = plan_capacity(inputs, options);
    CHECK(total(all_lost, &replica_counts::on_demand) == 6);
    // The running ones are kept and the new ones are spread over the data centres.
    for (auto const& [data_centre, counts] : all_lost)
        CHECK(counts.on_demand >= 1);
}

TEST_CASE("on-demand replicas serve the entire demand while reclaimable ones are not available")
{
    // Guards against engines that are overloaded while two data centres are reclaimed, because
    // on-demand replicas replaced only a fraction of the lost capacity.
    auto inputs = make_inputs(2'700'000);
    inputs.limits.max_replicas = 60;
    for (auto const* name : {"a", "b", "c", "d"})
        inputs.serving[data_centre_id(name)] = {4, 24};
    inputs.serving[data_centre_id("a")].reclaimable = 0;
    inputs.serving[data_centre_id("b")].reclaimable = 0;
    CHECK(total(plan_capacity(inputs), &replica_counts::on_demand) + 48 >= 90);
}

TEST_CASE("orders stay within the limits for any demand and any replicas")
{
    // Guards against orders beyond the limits that the operator has set for a data centre.
    rc::prop("the minimum and the maximum are kept",
             []
             {
                 auto inputs = make_inputs(*rc::gen::inRange(0, 3'000'000));
                 inputs.limits.reclaimable_price = *rc::gen::element(0.2, 1.0);
                 for (auto const* name : {"a", "b", "c", "d"})
                     inputs.serving[data_centre_id(name)] = {
                         *rc::gen::inRange<std::uint32_t>(0, 8),
                         *rc::gen::inRange<std::uint32_t>(0, 8)};
                 for (auto const& [data_centre, counts] : plan_capacity(inputs))
                 {
                     auto const both = counts.on_demand + counts.reclaimable;
                     RC_ASSERT(both >= inputs.limits.min_replicas);
                     RC_ASSERT(both <= inputs.limits.max_replicas);
                 }
             });
}

TEST_CASE("an evacuated data centre gets no replicas and the others replace them")
{
    // Guards against replicas that are ordered where no request is sent, and against too few of
    // them elsewhere.
    auto inputs = make_inputs(400'000);
    inputs.limits.max_replicas = 20;
    for (auto const* name : {"a", "b", "c", "d"})
        inputs.serving[data_centre_id(name)] = {1, 4};
    auto const before = plan_capacity(inputs);
    inputs.evacuated = {data_centre_id("b")};
    auto const after = plan_capacity(inputs);
    CHECK_FALSE(after.contains(data_centre_id("b")));
    // The reserve for the loss of a data centre is spread over three instead of four.
    CHECK(total(after, &replica_counts::on_demand) + total(after, &replica_counts::reclaimable) >=
          total(before, &replica_counts::on_demand) + total(before, &replica_counts::reclaimable));
    inputs.evacuated = {data_centre_id("a"), data_centre_id("b"), data_centre_id("c"),
                        data_centre_id("d")};
    CHECK(plan_capacity(inputs).empty());
}
