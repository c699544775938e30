#ifndef LAGOONLADDER_CONSENSUS_READY_HPP
#define LAGOONLADDER_CONSENSUS_READY_HPP

#include <lagoonladder/consensus/message.hpp>

namespace lagoonladder::consensus
{

/// A read that may be served once the entry at `index` has been applied.
struct confirmed_read
{
    std::uint64_t context = 0;
    log_index index;
};

/// Work for the caller, to be done in this order:
/// 1. store `snapshot`, `entries` and `hard_state` (log_store::save does all three), and sync when
///    `must_sync` is set;
/// 2. send `messages`;
/// 3. restore the application from `restore`;
/// 4. apply `committed`;
/// 5. serve `reads` as soon as their index is applied.
/// Other functions of the node, except for take_ready(), may be called before the sync has
/// finished. `committed` may be applied before it when the group has more than one voter and there
/// is nothing to restore: a quorum has stored these entries. When the sync fails, the node must no
/// longer be used.
struct ready
{
    /// Present when it differs from the one returned last.
    std::optional<consensus::hard_state> hard_state;
    /// Entries to append. They replace stored entries from entries.front().index on.
    std::vector<log_entry> entries;
    /// Snapshot to store. When the stored log has no entry with the index and term of the snapshot,
    /// the complete stored log is dropped; otherwise the entries after that one stay.
    std::optional<consensus::snapshot> snapshot;
    bool must_sync = false;
    std::vector<message> messages;
    /// Snapshot received from the leader; it replaces the state of the application.
    std::optional<consensus::snapshot> restore;
    /// Entries to apply, each returned once and without gaps. Entries of all kinds are included.
    std::vector<log_entry> committed;
    std::vector<confirmed_read> reads;
    /// Contexts of reads that will not be confirmed; the reads may be requested again under other
    /// contexts.
    std::vector<std::uint64_t> failed_reads;

    bool empty() const
    {
        return !this->hard_state && this->entries.empty() && !this->snapshot &&
               this->messages.empty() && !this->restore && this->committed.empty() &&
               this->reads.empty() && this->failed_reads.empty();
    }
};

} // namespace lagoonladder::consensus

#endif
