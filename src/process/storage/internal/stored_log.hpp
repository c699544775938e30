#ifndef LAGOONLADDER_STORAGE_STORED_LOG_HPP
#define LAGOONLADDER_STORAGE_STORED_LOG_HPP

#include <lagoonladder/storage/log_store.hpp>

namespace lagoonladder::storage
{

/// Replaces the entries from entries.front().index on. False when this would
/// leave a gap, or would replace entries that a snapshot covers.
bool append_entries(consensus::persistent_state& state,
                    std::vector<consensus::log_entry> const& entries);

/// Drops the log up to the snapshot, or the whole log when the entry at the
/// index of the snapshot is missing or has another term.
void install_snapshot(consensus::persistent_state& state, consensus::snapshot snapshot);

} // namespace lagoonladder::storage

#endif
