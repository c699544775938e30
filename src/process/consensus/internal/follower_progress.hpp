#ifndef LAGOONLADDER_CONSENSUS_FOLLOWER_PROGRESS_HPP
#define LAGOONLADDER_CONSENSUS_FOLLOWER_PROGRESS_HPP

#include <memory>

#include <lagoonladder/consensus/types.hpp>

namespace lagoonladder::consensus
{

enum class replication_mode
{
    /// The last matching entry is being looked for; one append at a time.
    probe,
    /// Appends are sent without waiting for the replies.
    stream,
    /// A snapshot is being transferred; one chunk at a time.
    snapshot
};

/// What the leader knows about one follower.
struct follower_progress
{
    replication_mode mode = replication_mode::probe;
    log_index match;
    log_index next;
    /// Commit index that was sent last.
    log_index sent_commit;
    /// An append of the probe, or a chunk, was sent and not yet answered.
    bool awaiting_reply = false;

    /// Latest broadcast that was answered, and when it was sent.
    std::uint64_t acknowledged_round = 0;
    std::optional<time_point> acknowledged_at;

    /// Kept for the whole transfer, even when the leader compacts meanwhile.
    std::shared_ptr<consensus::snapshot const> transfer;
    std::uint64_t transferred = 0;
    time_point chunk_sent_at{};
    std::uint64_t chunk_round = 0;

    void start_probe(log_index first)
    {
        this->mode = replication_mode::probe;
        this->next = first;
        this->awaiting_reply = false;
        this->transfer.reset();
    }

    void start_transfer(std::shared_ptr<consensus::snapshot const> state)
    {
        this->mode = replication_mode::snapshot;
        this->transfer = std::move(state);
        this->transferred = 0;
        this->awaiting_reply = false;
    }
};

} // namespace lagoonladder::consensus

#endif
