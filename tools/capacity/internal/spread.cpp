#include <deque>

#include "measurement.hpp"
#include "rows.hpp"
#include "slopes.hpp"

namespace lagoonladder::capacity
{

namespace
{

using group = std::deque<connection::entry_directory>;

struct spread_case
{
    std::size_t count = 0;
    /// Distance between the numbers of entries; data_centre_count puts all in one data centre.
    std::size_t stride = 1;
    duration interval = seconds(1);
    std::size_t max_peers = 2;
};

/// Time since each entry received a newer heartbeat of each other entry.
struct silence_figures
{
    std::vector<double> seconds;
    std::size_t suspect = 0;
    std::size_t dead = 0;
};

group make_group(spread_case const& what)
{
    group all;
    for (std::size_t i = 0; i < what.count; ++i)
    {
        all.emplace_back(make_entry(i * what.stride));
        for (std::size_t j = 0; j < what.count; ++j)
            all.back().merge(start_time(), make_entry(j * what.stride));
    }
    return all;
}

/// One gossip round of one entry, as the daemon runs it, without network delay,
/// lost messages and seeds.
void run_round(spread_case const& what, group& all, std::size_t self, time_point now,
               random_source& random)
{
    auto& own = all[self];
    own.advance_heartbeat(generation(1), 20);
    own.expire(now);
    auto peers = own.gossip_peers(now, random);
    peers.resize(std::min(peers.size(), what.max_peers));
    for (auto const& peer : peers)
    {
        // The number of an entry is the end of its VM id.
        auto const& id = peer.vm.value();
        auto& other = all[std::stoul(id.substr(id.size() - 5)) / what.stride];
        other.merge(now, own.digest(now));
        own.merge(now, other.digest(now));
    }
}

void observe(connection::entry_directory const& one, time_point now, silence_figures& out)
{
    for (auto const& status : one.all(now))
    {
        if (status.record.vm == one.own().vm)
            continue;
        out.seconds.push_back(to_seconds(status.time_since_heartbeat));
        out.suspect += status.health == connection::entry_health::suspect;
        out.dead += status.health == connection::entry_health::dead;
    }
}

void measure_spread_of(char const* name, spread_case const& what)
{
    constexpr std::size_t rounds = 24;
    constexpr std::size_t warm_up = 12;
    auto const count = what.count;
    auto all = make_group(what);
    seeded_random random(7);
    silence_figures figures;
    for (std::size_t round = 0; round < rounds; ++round)
        for (std::size_t i = 0; i < count; ++i)
        {
            auto const now = start_time() + what.interval * round + what.interval * i / count;
            run_round(what, all, i, now, random);
            if (round >= warm_up)
                observe(all[i], now, figures);
        }
    auto& ages = figures.seconds;
    std::sort(ages.begin(), ages.end());
    auto const pairs = static_cast<double>(ages.size());
    print_figure(name,
                 std::to_string(count) + " entries each " +
                     std::to_string(what.interval / seconds(1)) + " s",
                 {{"p50_ms", 1000 * ages[ages.size() / 2]},
                  {"p99_ms", 1000 * ages[ages.size() * 99 / 100]},
                  {"max_ms", 1000 * ages.back()},
                  {"suspect_per_million", 1e6 * static_cast<double>(figures.suspect) / pairs},
                  {"dead_per_million", 1e6 * static_cast<double>(figures.dead) / pairs}});
}

} // namespace

void measure_spread()
{
    for (std::size_t const count : {5, 10, 50, 150, 350})
        measure_spread_of("gossip.silence", {.count = count});
    for (duration const interval : {seconds(1), seconds(2)})
        measure_spread_of(
            "gossip.silence_local",
            {.count = 32, .stride = data_centre_count, .interval = interval, .max_peers = 1});
}

} // namespace lagoonladder::capacity
