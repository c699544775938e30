#include <catch2/catch.hpp>

#include "churning_cluster.hpp"

using namespace lagoonladder;
using namespace lagoonladder::consensus;

namespace
{

/// Loses single VMs and all processes in any way, and then one disk together with the power of all
/// other VMs, several times.
void run_with_power_losses(std::uint64_t seed, std::uint64_t& restored_snapshots)
{
    constexpr int power_losses = 4;
    seeded_random random(seed);
    auto const below = [&](int limit) { return milliseconds(random.below(std::uint64_t(limit))); };
    churning_cluster group(seed, random.below(2) == 0 ? 4 : 3 + random.below(6));
    group.start_calls();
    for (int count = 1; count <= power_losses; ++count)
    {
        INFO("LAGOONLADDER_SEED=" << seed << ", loss of power " << count);
        if (random.below(2) == 0)
            group.kill_all_after(below(10'000));
        if (random.below(5) > 0)
            group.lose(group.victim(random.below(2) == 0), static_cast<loss>(random.below(4)));
        group.run(below(5'000));
        if (random.below(2) == 0)
            group.run_until_acknowledged();
        group.lose_disk_and_power(group.victim(random.below(2) == 0),
                                  random.below(4) == 0 ? loss::replaced : loss::wiped);
        auto const acknowledged = group.cluster.client_visible_index;
        REQUIRE(group.can_write());
        // Entries that differ at an index, and older reads, are failures of the cluster.
        REQUIRE(group.cluster.client_visible_index > acknowledged);
        group.run(catch_up_time);
    }
    restored_snapshots += group.cluster.restored_snapshots;
}

} // namespace

TEST_CASE("a group whose leaders are replaced one after the other keeps a quorum")
{
    // Guards against replaced voters that count towards the quorum until no leader can be elected
    // any more: each new leader counted the silence of earlier losses anew.
    for (std::size_t const size : {3, 4, 5, 6, 8})
    {
        churning_cluster group(size, size);
        for (int count = 1; count <= 9; ++count)
        {
            group.lose(group.victim(true), loss::replaced);
            INFO(size << " voters, " << count << " replaced");
            REQUIRE(group.can_write());
        }
    }
}

TEST_CASE("a group that loses one voter after the other in any way keeps a quorum")
{
    // Guards against any series of single losses, each after the time in which the last one stops
    // counting, that leaves a group which cannot elect a leader any more.
    constexpr std::uint64_t seeds = 20;
    constexpr int losses = 25;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        seeded_random random(seed);
        churning_cluster group(seed, 3 + random.below(6));
        for (int count = 1; count <= losses; ++count)
        {
            auto const kind = static_cast<loss>(random.below(4));
            INFO("seed " << seed << ", loss " << count << " of kind " << static_cast<int>(kind));
            group.lose(group.victim(random.below(2) == 0), kind);
            REQUIRE(group.can_write());
        }
    }
}

TEST_CASE("a group that loses one disk and all power at any moment keeps what it acknowledged")
{
    // Guards against an acknowledged write that is on fewer disks than may be lost, and against a
    // group without a quorum, beside changes of the voters, snapshots and kills of all processes.
    constexpr std::uint64_t seeds = 8;
    auto const single_seed = environment_value("LAGOONLADDER_SEED", 0);
    std::uint64_t restored_snapshots = 0;
    for (auto seed = single_seed ? single_seed : 1; seed <= (single_seed ? single_seed : seeds);
         ++seed)
        run_with_power_losses(seed, restored_snapshots);
    CHECK(restored_snapshots > 0);
}
