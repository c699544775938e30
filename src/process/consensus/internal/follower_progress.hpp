#ifndef LAGOONLADDER_CONSENSUS_FOLLOWER_PROGRESS_HPP
#define LAGOONLADDER_CONSENSUS_FOLLOWER_PROGRESS_HPP

#include <algorithm>
#include <deque>
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
    log_index match_index;
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

    /// Appends of a stream that are not yet answered, oldest first.
    struct unanswered_append
    {
        log_index last;
        std::uint64_t bytes = 0;
    };
    std::deque<unanswered_append> unanswered;
    std::uint64_t unanswered_bytes = 0;

    void note_sent(log_index last, std::uint64_t bytes)
    {
        this->unanswered.push_back({last, bytes});
        this->unanswered_bytes += bytes;
    }

    void note_match(log_index index)
    {
        this->match_index = std::max(this->match_index, index);
        while (!this->unanswered.empty() && this->unanswered.front().last <= this->match_index)
        {
            this->unanswered_bytes -= this->unanswered.front().bytes;
            this->unanswered.pop_front();
        }
    }

    void forget_sent()
    {
        this->unanswered.clear();
        this->unanswered_bytes = 0;
    }

    void start_probe(log_index first)
    {
        this->forget_sent();
        this->mode = replication_mode::probe;
        this->next = first;
        this->awaiting_reply = false;
        this->transfer.reset();
    }

    void start_transfer(std::shared_ptr<consensus::snapshot const> state)
    {
        this->forget_sent();
        this->mode = replication_mode::snapshot;
        this->transfer = std::move(state);
        this->transferred = 0;
        this->awaiting_reply = false;
    }
};

} // namespace lagoonladder::consensus

#endif
