#include <lagoonladder/proxy/traffic_control.hpp>

#include <algorithm>

namespace lagoonladder::proxy
{

namespace
{

/// With more entries, one entry's part of a quota is smaller than a large request, and
/// asking all the others for the rest takes a message to each of them.
constexpr std::size_t max_entries_with_parts = 16;
/// Keepers share the messages, and the loss of one leaves the tokens of the others.
constexpr std::size_t keepers_of_account = 4;

} // namespace

std::size_t max_entries_splitting_quotas()
{
    return max_entries_with_parts;
}

std::vector<serving_entry> quota_holders(traffic_view const& view, account_id const& account)
{
    if (view.serving.size() <= max_entries_with_parts)
        return {};
    // Rendezvous hashing: an entry that comes or goes moves the accounts of that entry only.
    auto const seed = stable_hash(account.value());
    std::vector<std::pair<std::uint64_t, serving_entry const*>> ranked;
    ranked.reserve(view.serving.size());
    for (auto const& entry : view.serving)
        ranked.emplace_back(stable_hash(entry.vm.value(), seed), &entry);
    auto const last = ranked.begin() + keepers_of_account;
    std::partial_sort(ranked.begin(), last, ranked.end(), std::greater<>());
    std::vector<serving_entry> keepers;
    for (auto position = ranked.begin(); position != last; ++position)
        keepers.push_back(*position->second);
    return keepers;
}

} // namespace lagoonladder::proxy
