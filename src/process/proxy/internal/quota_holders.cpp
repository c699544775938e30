#include <lagoonladder/proxy/traffic_control.hpp>

#include <algorithm>

namespace lagoonladder::proxy
{

namespace
{

/// With more entries, the portion of a quota that each one holds is smaller than a large request
/// needs, and borrowing the rest takes a message to every other entry.
constexpr std::size_t max_splitting_entries = 16;
/// Several holders share the load of messages, and when one fails, the others still have tokens.
constexpr std::size_t holders_per_account = 4;

} // namespace

std::size_t max_entries_splitting_quotas()
{
    return max_splitting_entries;
}

std::uint32_t entries_sharing_limits(traffic_view const& view)
{
    return std::max({view.entries, view.portion.entries, 1U});
}

std::vector<serving_entry> quota_holders(traffic_view const& view, account_id const& account)
{
    if (view.serving.size() <= max_splitting_entries)
        return {};
    // Rendezvous hashing: an entry that joins or leaves changes only the accounts that it holds.
    auto const seed = stable_hash(account.value());
    std::vector<std::pair<std::uint64_t, serving_entry const*>> ranked;
    ranked.reserve(view.serving.size());
    for (auto const& entry : view.serving)
        ranked.emplace_back(stable_hash(entry.vm.value(), seed), &entry);
    auto const last = ranked.begin() + holders_per_account;
    std::partial_sort(ranked.begin(), last, ranked.end(), std::greater<>());
    std::vector<serving_entry> holders;
    for (auto position = ranked.begin(); position != last; ++position)
        holders.push_back(*position->second);
    return holders;
}

} // namespace lagoonladder::proxy
