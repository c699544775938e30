#include <deque>

#include "measurement.hpp"
#include "rows.hpp"
#include "sections.hpp"

namespace lagoonladder::capacity
{

namespace
{

using cluster = std::deque<connection::entry_directory>;

struct propagation_case
{
    std::size_t count = 0;
    /// Difference between the numbers of consecutive entries. With data_centre_count all
    /// entries are in the same data centre.
    std::size_t stride = 1;
    duration interval = seconds(1);
    std::size_t max_peers = 2;
};

/// For all pairs of entries: the time since one entry last received a newer heartbeat of
/// the other, and how often it considered the other suspect or dead.
struct heartbeat_ages
{
    std::vector<double> seconds;
    std::size_t suspect = 0;
    std::size_t dead = 0;
};

cluster make_cluster(propagation_case const& parameters)
{
    cluster entries;
    for (std::size_t i = 0; i < parameters.count; ++i)
    {
        entries.emplace_back(make_entry(i * parameters.stride));
        for (std::size_t j = 0; j < parameters.count; ++j)
            entries.back().merge(start_time(), make_entry(j * parameters.stride));
    }
    return entries;
}

/// Runs one gossip round of one entry as the daemon does, but without network delay, lost
/// messages and seeds.
void run_round(propagation_case const& parameters, cluster& entries, std::size_t self,
               time_point now, random_source& random)
{
    auto& own = entries[self];
    own.advance_heartbeat(generation(1), 20);
    own.expire(now);
    auto peers = own.gossip_peers(now, random);
    peers.resize(std::min(peers.size(), parameters.max_peers));
    for (auto const& peer : peers)
    {
        // The VM id of an entry ends with its five-digit number.
        auto const& id = peer.vm.value();
        auto& other = entries[std::stoul(id.substr(id.size() - 5)) / parameters.stride];
        other.merge(now, own.digest(now));
        own.merge(now, other.digest(now));
    }
}

void add_heartbeat_ages(connection::entry_directory const& observer, time_point now,
                        heartbeat_ages& out)
{
    for (auto const& status : observer.all(now))
    {
        if (status.record.vm == observer.own().vm)
            continue;
        out.seconds.push_back(to_seconds(status.time_since_heartbeat));
        out.suspect += status.health == connection::entry_health::suspect;
        out.dead += status.health == connection::entry_health::dead;
    }
}

void measure_propagation_case(char const* name, propagation_case const& parameters)
{
    constexpr std::size_t rounds = 24;
    constexpr std::size_t warm_up = 12;
    auto const count = parameters.count;
    auto entries = make_cluster(parameters);
    seeded_random random(7);
    heartbeat_ages figures;
    for (std::size_t round = 0; round < rounds; ++round)
        for (std::size_t i = 0; i < count; ++i)
        {
            auto const now =
                start_time() + parameters.interval * round + parameters.interval * i / count;
            run_round(parameters, entries, i, now, random);
            if (round >= warm_up)
                add_heartbeat_ages(entries[i], now, figures);
        }
    auto& ages = figures.seconds;
    std::sort(ages.begin(), ages.end());
    auto const pairs = static_cast<double>(ages.size());
    print_figure(name,
                 std::to_string(count) + " entries each " +
                     std::to_string(parameters.interval / seconds(1)) + " s",
                 {{"p50_ms", 1000 * ages[ages.size() / 2]},
                  {"p99_ms", 1000 * ages[ages.size() * 99 / 100]},
                  {"max_ms", 1000 * ages.back()},
                  {"suspect_per_million", 1e6 * static_cast<double>(figures.suspect) / pairs},
                  {"dead_per_million", 1e6 * static_cast<double>(figures.dead) / pairs}});
}

} // namespace

void measure_propagation()
{
    for (std::size_t const count : {5, 10, 50, 150, 350})
        measure_propagation_case("gossip.silence", {.count = count});
    for (duration const interval : {seconds(1), seconds(2)})
        measure_propagation_case(
            "gossip.silence_local",
            {.count = 32, .stride = data_centre_count, .interval = interval, .max_peers = 1});
}

} // namespace lagoonladder::capacity
