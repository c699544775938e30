#include <lagoonladder/connection/caller_entries.hpp>

#include <algorithm>
#include <set>

#include <rendezvous.hpp>

namespace lagoonladder::connection
{

namespace
{

/// Rank of `zone` in the entry's own pseudo-random order of the other zones. The order depends on
/// the entry, which spreads the callers of different zones over the entries.
std::size_t rank_of_zone(entry_record const& entry, zone_id const& zone,
                         std::set<zone_id> const& zones)
{
    auto const seed = stable_hash(entry.vm.value());
    auto const score = stable_hash(zone.value(), seed);
    return static_cast<std::size_t>(
        std::count_if(zones.begin(), zones.end(),
                      [&](zone_id const& other)
                      { return other != entry.zone && stable_hash(other.value(), seed) > score; }));
}

} // namespace

std::vector<entry_record> entries_for_callers(std::vector<entry_record> const& entries,
                                              zone_id const& zone, std::size_t max_entries)
{
    if (entries.size() <= max_entries)
        return entries;
    std::set<zone_id> zones{zone};
    for (auto const& entry : entries)
        zones.insert(entry.zone);
    std::vector<entry_record> chosen;
    std::vector<std::vector<entry_record>> by_rank(zones.size());
    for (auto const& entry : entries)
    {
        if (entry.zone == zone)
            chosen.push_back(entry);
        else
            by_rank[rank_of_zone(entry, zone, zones)].push_back(entry);
    }
    chosen = rendezvous_order(std::move(chosen), zone.value());
    for (auto& same_rank : by_rank)
    {
        if (chosen.size() >= max_entries)
            break;
        for (auto& entry : rendezvous_order(std::move(same_rank), zone.value()))
            chosen.push_back(std::move(entry));
    }
    chosen.resize(std::min(chosen.size(), max_entries));
    return chosen;
}

} // namespace lagoonladder::connection
