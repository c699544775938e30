#ifndef LAGOONLADDER_STORAGE_LOG_STORE_HPP
#define LAGOONLADDER_STORAGE_LOG_STORE_HPP

#include <lagoonladder/consensus.hpp>

namespace lagoonladder::storage
{

/// Error of the storage layer. The message names the file and, where applicable, the offset. After
/// an error in save() or save_snapshot(), the store must not be used any more, since only a new
/// load shows what was written to the disk.
class storage_error : public error
{
public:
    using error::error;
};

/// Durable state of one consensus node. Not thread-safe.
class log_store
{
public:
    virtual ~log_store() = default;

    /// Returns the stored state, which is durable on return. To be called before anything is saved,
    /// and again after an error. Throws storage_error.
    virtual consensus::persistent_state load() = 0;

    /// Stores the hard state and the entries, which replace any stored entries from
    /// entries.front().index on. With `must_sync`, everything is durable on return. Without it, the
    /// write may be deferred until the next save that syncs. Throws storage_error.
    virtual void save(std::optional<consensus::hard_state> const& state,
                      std::vector<consensus::log_entry> const& entries, bool must_sync) = 0;

    /// Stores a snapshot and removes the log entries up to its index, or all entries if none has
    /// the index and term of the snapshot. Durable on return. Throws storage_error.
    virtual void save_snapshot(consensus::snapshot const& state) = 0;

    /// Saves the snapshot, hard state and entries of a consensus::ready. To be called before its
    /// messages are sent.
    void save(consensus::ready const& work);
};

} // namespace lagoonladder::storage

#endif
