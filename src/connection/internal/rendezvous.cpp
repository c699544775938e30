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
    std::vector<std::pair<std::uint64_t, entry_record>> scored;
    scored.reserve(entries.size());
    for (auto& row : entries)
    {
        auto const score = stable_hash(row.vm.value(), seed);
        scored.emplace_back(score, std::move(row));
    }
    std::sort(
        scored.begin(), scored.end(),
        [](auto const& left, auto const& right)
        { return std::tie(right.first, left.second.vm) < std::tie(left.first, right.second.vm); });
    std::vector<entry_record> out;
    out.reserve(scored.size());
    for (auto& [score, row] : scored)
        out.push_back(std::move(row));
    return out;
}

std::vector<entry_record> spread_over_data_centres(std::vector<entry_record> const& ordered)
{
    // Each round takes the next entry of every data centre.
    std::map<data_centre_id, std::size_t> taken;
    std::vector<std::pair<std::size_t, entry_record const*>> rounds;
    for (auto const& row : ordered)
        rounds.emplace_back(taken[row.data_centre]++, &row);
    std::stable_sort(rounds.begin(), rounds.end(),
                     [](auto const& left, auto const& right) { return left.first < right.first; });
    std::vector<entry_record> out;
    out.reserve(rounds.size());
    for (auto const& [round, row] : rounds)
        out.push_back(*row);
    return out;
}

} // namespace lagoonladder::connection
