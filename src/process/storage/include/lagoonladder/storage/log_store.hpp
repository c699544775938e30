#ifndef LAGOONLADDER_STORAGE_LOG_STORE_HPP
#define LAGOONLADDER_STORAGE_LOG_STORE_HPP

#include <lagoonladder/consensus.hpp>

namespace lagoonladder::storage
{

/// Errors of the storage layer. The text names the file and, where there is
/// one, the offset. After an error in save() or save_snapshot() the store is
/// not usable: what is on disk is known only after a new load.
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

    /// What was saved last. To be called once, before anything is saved.
    virtual consensus::persistent_state load() = 0;

    /// Appends entries, replacing stored ones from entries.front().index on, and
    /// the hard state. With `must_sync` all is durable on return; without it, it may
    /// be kept back until the next save that syncs. Throws storage_error.
    virtual void save(std::optional<consensus::hard_state> const& state,
                      std::vector<consensus::log_entry> const& entries, bool must_sync) = 0;

    /// Stores a snapshot and drops the log up to it, or the whole log when it has no
    /// entry with the index and term of the snapshot. Durable on return.
    /// Throws storage_error.
    virtual void save_snapshot(consensus::snapshot const& state) = 0;

    /// Saves what a ready asks to be saved; to be called before its messages are sent.
    void save(consensus::ready const& work);
};

} // namespace lagoonladder::storage

#endif
