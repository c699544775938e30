#include <rendezvous.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>

namespace lagoonladder::connection
{

std::vector<entry_record> rendezvous_order(std::vector<entry_record> entries, std::string_view key)
{
    auto const seed = stable_hash(key);
    std::vector<std::pair<std::uint64_t, entry_record>> scored_entries;
    scored_entries.reserve(entries.size());
    for (auto& entry : entries)
    {
        auto const score = stable_hash(entry.vm.value(), seed);
        scored_entries.emplace_back(score, std::move(entry));
    }
    std::sort(
        scored_entries.begin(), scored_entries.end(),
        [](auto const& left, auto const& right)
        { return std::tie(right.first, left.second.vm) < std::tie(left.first, right.second.vm); });
    std::vector<entry_record> out;
    out.reserve(scored_entries.size());
    for (auto& [score, entry] : scored_entries)
        out.push_back(std::move(entry));
    return out;
}

std::vector<entry_record> spread_over_data_centres(std::vector<entry_record> const& ordered)
{
    // Each round takes the next entry of every data centre.
    std::map<data_centre_id, std::size_t> taken_by_data_centre;
    std::vector<std::pair<std::size_t, entry_record const*>> rounds;
    for (auto const& entry : ordered)
        rounds.emplace_back(taken_by_data_centre[entry.data_centre]++, &entry);
    std::stable_sort(rounds.begin(), rounds.end(),
                     [](auto const& left, auto const& right) { return left.first < right.first; });
    std::vector<entry_record> out;
    out.reserve(rounds.size());
    for (auto const& [round, entry] : rounds)
        out.push_back(*entry);
    return out;
}

} // namespace lagoonladder::connection
