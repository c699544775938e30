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

/// Work for the caller, in this order: store `snapshot`, `entries` and
/// `hard_state` (log_store::save does all three) and sync when `must_sync` is
/// set; send `messages`; restore `restore`; apply `committed`; serve `reads`
/// as soon as their index is applied. No other function of the node may be
/// called before the sync has finished. When the sync fails, the node is no
/// longer usable.
struct ready
{
    /// Present when it differs from the one handed out last.
    std::optional<consensus::hard_state> hard_state;
    /// To append; stored entries from entries.front().index on are replaced.
    std::vector<log_entry> entries;
    /// To store. When the stored log has no entry with the index and term of the
    /// snapshot, the whole stored log is dropped; otherwise the entries after it stay.
    std::optional<consensus::snapshot> snapshot;
    bool must_sync = false;
    std::vector<message> messages;
    /// Received from the leader; replaces the state of the application.
    std::optional<consensus::snapshot> restore;
    /// Contiguous, each entry once; all kinds, so that indexes have no gaps.
    std::vector<log_entry> committed;
    std::vector<confirmed_read> reads;
    /// Reads that will not be confirmed; may be requested again.
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
