#include <catch2/catch.hpp>

#include "simulated_cluster.hpp"

using namespace lagoonladder;
using namespace lagoonladder::consensus;

namespace
{

struct totals
{
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
    std::uint64_t lost_disks = 0;
    std::uint64_t snapshots = 0;
    std::uint64_t leases = 0;
    std::uint64_t confirmations = 0;
    std::uint64_t applied_meanwhile = 0;
    std::uint64_t lost_writes = 0;
};

void run_with_faults(std::uint64_t seed, std::size_t size, std::uint64_t steps, totals& total)
{
    INFO("LAGOONLADDER_SEED=" << seed << " LAGOONLADDER_STEPS=" << steps << " nodes " << size);
    simulated_cluster cluster(seed, size);
    try
    {
        cluster.run(seconds(2));
        for (std::uint64_t step = 0; step < steps; ++step)
        {
            cluster.inject_faults();
            cluster.step();
        }
        cluster.heal_and_converge();
    }
    catch (std::exception const& failure)
    {
        FAIL(failure.what() << " at " << to_seconds(cluster.now.time_since_epoch()) << " s");
    }
    total.writes += cluster.acknowledged_writes;
    total.reads += cluster.served_reads;
    total.lost_disks += cluster.lost_disks;
    total.snapshots += cluster.restored_snapshots;
    total.leases += cluster.observed_leases;
    total.confirmations += cluster.confirmations;
    total.applied_meanwhile += cluster.applied_meanwhile;
    total.lost_writes += cluster.lost_writes;
}

void run_seeds(std::size_t size, std::uint64_t count)
{
    auto const steps = environment_value("LAGOONLADDER_STEPS", 4000);
    auto const single_seed = environment_value("LAGOONLADDER_SEED", 0);
    totals total;
    for (auto seed = single_seed ? single_seed : 1; seed <= (single_seed ? single_seed : count);
         ++seed)
        run_with_faults(seed, size, steps, total);
    // A single run may lose its quorum for most of the time.
    if (single_seed)
        return;
    // Guards against runs that pass only because the faults prevent all progress.
    CHECK(total.writes > 20 * count);
    CHECK(total.reads > 20 * count);
    CHECK(total.leases > 20 * count);
    CHECK(total.confirmations > 20 * count);
    CHECK(total.applied_meanwhile > count);
    CHECK(total.lost_writes > count);
    CHECK(total.lost_disks > count);
    CHECK(total.snapshots > count);
    WARN(count << " runs: " << total.writes << " writes, " << total.reads << " reads, "
               << total.lost_disks << " lost disks, " << total.snapshots << " snapshots restored, "
               << total.confirmations << " confirmations, " << total.applied_meanwhile
               << " entries applied during a write, " << total.lost_writes << " writes lost");
}

} // namespace

TEST_CASE("three nodes stay safe under random faults")
{
    // Guards against lost or diverging entries, two leaders in a term, stale reads and overlapping
    // leases under any combination of faults.
    run_seeds(3, 200);
}

TEST_CASE("five nodes stay safe under random faults")
{
    // Guards against the same failures in a group that keeps its quorum without two voters.
    run_seeds(5, 100);
}
