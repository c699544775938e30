#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <lagoonladder/version.hpp>

using namespace lagoonladder;
using namespace lagoonladder::version;

namespace
{

capacity_inputs make_situation(double demand)
{
    capacity_inputs now;
    now.limits.min_replicas = 1;
    now.limits.max_replicas = 6;
    now.limits.reclaimable_price = 0.2;
    now.limits.prices = {{data_centre_id("a"), 1.0},
                         {data_centre_id("b"), 0.8},
                         {data_centre_id("c"), 1.25},
                         {data_centre_id("d"), 0.9}};
    now.demand = demand;
    return now;
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
    // Guards against a gap in capacity while cheaper replicas start.
    capacity_options options;
    options.tokens_per_engine = 25'000;
    options.on_demand_fraction = 0.4;
    options.min_served_fraction = 0.7;
    auto now = make_situation(200'000);
    for (auto const* name : {"a", "b", "c", "d"})
        now.serving[data_centre_id(name)] = {2, 0};
    auto const before = plan_capacity(now, options);
    // 0.7 of eight engines, as long as no reclaimable one serves.
    CHECK(total(before, &replica_counts::on_demand) == 6);
    CHECK(total(before, &replica_counts::reclaimable) == 8);
    for (auto& [data_centre, counts] : now.serving)
        counts.reclaimable = 2;
    // 0.4 of eight engines.
    CHECK(total(plan_capacity(now, options), &replica_counts::on_demand) == 4);
}

TEST_CASE("reclaimed data centres leave enough replicas")
{
    // Guards against a reclaim of several data centres within seconds.
    capacity_options options;
    options.tokens_per_engine = 25'000;
    options.on_demand_fraction = 0.4;
    options.min_served_fraction = 0.7;
    auto now = make_situation(200'000);
    for (auto const& [data_centre, counts] : plan_capacity(now, options))
        now.serving[data_centre] = {1, counts.reclaimable};
    now.serving[data_centre_id("b")].reclaimable = 0;
    auto const one_lost = plan_capacity(now, options);
    CHECK(total(one_lost, &replica_counts::on_demand) == 4);
    for (auto& [data_centre, counts] : now.serving)
        counts.reclaimable = 0;
    auto const all_lost = plan_capacity(now, options);
    CHECK(total(all_lost, &replica_counts::on_demand) == 6);
    // Those that run are kept, the others are spread.
    for (auto const& [data_centre, counts] : all_lost)
        CHECK(counts.on_demand >= 1);
}

TEST_CASE("on-demand replicas serve the whole demand while reclaimable ones are not to be had")
{
    // Guards against engines that are overloaded for as long as a reclaim of two data centres
    // lasts, since only a part of the demand was covered.
    auto now = make_situation(2'700'000);
    now.limits.max_replicas = 60;
    for (auto const* name : {"a", "b", "c", "d"})
        now.serving[data_centre_id(name)] = {4, 24};
    now.serving[data_centre_id("a")].reclaimable = 0;
    now.serving[data_centre_id("b")].reclaimable = 0;
    CHECK(total(plan_capacity(now), &replica_counts::on_demand) + 48 >= 90);
}

TEST_CASE("orders stay within the limits for any demand and any replicas")
{
    rc::prop("least and most hold",
             []
             {
                 auto now = make_situation(*rc::gen::inRange(0, 3'000'000));
                 now.limits.reclaimable_price = *rc::gen::element(0.2, 1.0);
                 for (auto const* name : {"a", "b", "c", "d"})
                     now.serving[data_centre_id(name)] = {*rc::gen::inRange<std::uint32_t>(0, 8),
                                                          *rc::gen::inRange<std::uint32_t>(0, 8)};
                 for (auto const& [data_centre, counts] : plan_capacity(now))
                 {
                     auto const both = counts.on_demand + counts.reclaimable;
                     RC_ASSERT(both >= now.limits.min_replicas);
                     RC_ASSERT(both <= now.limits.max_replicas);
                 }
             });
}
