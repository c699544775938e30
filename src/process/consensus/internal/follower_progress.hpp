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
    /// The leader searches for the last matching entry, with one append at a time.
    probe,
    /// Appends are pipelined: sent without waiting for the replies.
    stream,
    /// A snapshot is being transferred, one chunk at a time.
    snapshot
};

/// Replication state of one follower, kept by the leader.
struct follower_progress
{
    replication_mode mode = replication_mode::probe;
    /// Last entry known to be stored by the follower.
    log_index match_index;
    /// Next entry to send.
    log_index next_index;
    /// Commit index that was sent last.
    log_index sent_commit;
    /// An append in probe mode, or a snapshot chunk, was sent and its reply has not arrived.
    bool awaiting_reply = false;

    /// Latest broadcast that the follower acknowledged, and the time at which it was sent.
    std::uint64_t acknowledged_round = 0;
    std::optional<time_point> acknowledged_sent_at;

    /// Number of the follower's latest reply that has arrived.
    std::uint64_t last_reply_number = 0;

    /// Snapshot in transfer; kept until the transfer ends, even when the leader has a newer one.
    std::shared_ptr<consensus::snapshot const> pending_snapshot;
    std::uint64_t transferred_bytes = 0;
    time_point chunk_sent_at{};
    std::uint64_t chunk_round = 0;

    /// Unacknowledged append with entries in stream mode.
    struct in_flight_append
    {
        log_index last_index;
        std::uint64_t bytes = 0;
    };
    /// Oldest first.
    std::deque<in_flight_append> in_flight;
    std::uint64_t in_flight_bytes = 0;

    void record_sent(log_index last_index, std::uint64_t bytes)
    {
        this->in_flight.push_back({last_index, bytes});
        this->in_flight_bytes += bytes;
    }

    void advance_match(log_index index)
    {
        this->match_index = std::max(this->match_index, index);
        while (!this->in_flight.empty() && this->in_flight.front().last_index <= this->match_index)
        {
            this->in_flight_bytes -= this->in_flight.front().bytes;
            this->in_flight.pop_front();
        }
    }

    void clear_in_flight()
    {
        this->in_flight.clear();
        this->in_flight_bytes = 0;
    }

    void start_probe(log_index first)
    {
        this->clear_in_flight();
        this->mode = replication_mode::probe;
        this->next_index = first;
        this->awaiting_reply = false;
        this->pending_snapshot.reset();
    }

    void start_transfer(std::shared_ptr<consensus::snapshot const> snapshot_to_send)
    {
        this->clear_in_flight();
        this->mode = replication_mode::snapshot;
        this->pending_snapshot = std::move(snapshot_to_send);
        this->transferred_bytes = 0;
        this->awaiting_reply = false;
    }
};

} // namespace lagoonladder::consensus

#endif
