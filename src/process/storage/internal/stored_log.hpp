#ifndef LAGOONLADDER_STORAGE_STORED_LOG_HPP
#define LAGOONLADDER_STORAGE_STORED_LOG_HPP

#include <lagoonladder/storage/log_store.hpp>

namespace lagoonladder::storage
{

/// Appends entries, which replace any existing ones from entries.front().index on. Returns false,
/// without a change, if this would leave a gap or replace entries that the snapshot covers.
bool append_entries(consensus::persistent_state& state,
                    std::vector<consensus::log_entry> const& entries);

/// Sets the snapshot and removes the entries up to its index, or all entries if the entry at the
/// index of the snapshot is missing or has another term.
void install_snapshot(consensus::persistent_state& state, consensus::snapshot snapshot);

} // namespace lagoonladder::storage

#endif
