#include "stored_log.hpp"

#include <algorithm>

namespace lagoonladder::storage
{

bool append_entries(consensus::persistent_state& state,
                    std::vector<consensus::log_entry> const& entries)
{
    if (entries.empty())
        return true;
    auto const base = state.snapshot ? state.snapshot->index.value() : 0;
    auto const first = entries.front().index.value();
    if (first <= base || first > base + state.entries.size() + 1)
        return false;
    state.entries.resize(first - base - 1);
    state.entries.insert(state.entries.end(), entries.begin(), entries.end());
    return true;
}

void install_snapshot(consensus::persistent_state& state, consensus::snapshot snapshot)
{
    auto const last_covered = std::find_if(state.entries.begin(), state.entries.end(),
                                           [&](consensus::log_entry const& entry)
                                           { return entry.index == snapshot.index; });
    if (last_covered != state.entries.end() && last_covered->term == snapshot.term)
        state.entries.erase(state.entries.begin(), last_covered + 1);
    else
        state.entries.clear();
    state.snapshot = std::move(snapshot);
}

} // namespace lagoonladder::storage
