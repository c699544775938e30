#include <algorithm>

#include "node_core.hpp"

namespace lagoonladder::consensus
{

namespace
{

/// Maximum number of unacknowledged appends to one follower.
constexpr std::uint64_t max_in_flight_appends = 16;

std::uint64_t size_of(std::vector<log_entry> const& entries)
{
    std::uint64_t bytes = 0;
    for (auto const& entry : entries)
        bytes += entry.data.size();
    return bytes;
}

} // namespace

bool node_core::needs_append(follower_progress const& follower) const
{
    if (follower.mode != replication_mode::stream)
        return !follower.awaiting_reply;
    return this->can_send_entries(follower) ||
           follower.sent_commit < this->current_hard_state.commit;
}

/// When the limits of unacknowledged entries are reached, a new commit index is sent without
/// entries.
bool node_core::can_send_entries(follower_progress const& follower) const
{
    if (follower.mode != replication_mode::stream)
        return !follower.awaiting_reply;
    auto const entries_in_flight = follower.next_index.value() - 1 - follower.match_index.value();
    bool const has_room =
        entries_in_flight < max_in_flight_appends * this->options.max_entries_per_append &&
        follower.in_flight_bytes < this->options.max_in_flight_bytes;
    return has_room && follower.next_index <= this->log.last_index();
}

void node_core::send_appends()
{
    bool const is_heartbeat = std::exchange(this->heartbeat_due, false);
    bool const is_append_due =
        is_heartbeat ||
        std::any_of(this->followers.begin(), this->followers.end(),
                    [this](auto const& item) { return this->needs_append(item.second); });
    if (!is_append_due)
        return;
    auto const round = this->rounds.begin(this->now, this->options.election_timeout * 2);
    this->reads.assign_round(round);
    if (is_heartbeat)
        this->last_heartbeat = this->now;
    for (auto& [id, follower] : this->followers)
        this->replicate_to(id, follower, round, is_heartbeat);
}

void node_core::replicate_to(voter_id const& id, follower_progress& follower, std::uint64_t round,
                             bool is_heartbeat)
{
    bool const is_append_needed = this->needs_append(follower);
    if (!is_append_needed && !is_heartbeat)
        return;
    if (follower.mode != replication_mode::snapshot &&
        !this->log.term_at(before(follower.next_index)).has_value())
        follower.start_transfer(this->latest_snapshot);
    switch (follower.mode)
    {
    case replication_mode::snapshot:
        // A lost chunk is repeated only after a reply of the follower to a heartbeat, so that an
        // unreachable follower does not cost one chunk per heartbeat.
        if (!follower.awaiting_reply)
            this->send_snapshot_chunk(id, follower, round);
        else
            this->send_empty_heartbeat(id, follower, round);
        return;
    case replication_mode::probe:
        this->send_append(id, follower, round, this->can_send_entries(follower));
        follower.awaiting_reply = true;
        return;
    case replication_mode::stream:
        do
            this->send_append(id, follower, round, this->can_send_entries(follower));
        while (this->needs_append(follower));
    }
}

void node_core::send_append(voter_id const& id, follower_progress& follower, std::uint64_t round,
                            bool with_entries)
{
    auto request = this->make_message(message_type::append_request, id);
    request.index = before(follower.next_index);
    request.log_term = *this->log.term_at(request.index);
    request.commit = this->current_hard_state.commit;
    request.round = round;
    request.reply_number = follower.last_reply_number;
    if (with_entries)
        request.entries = this->log.slice(follower.next_index, this->log.last_index(),
                                          this->options.max_entries_per_append,
                                          this->options.max_bytes_per_append);
    if (follower.mode == replication_mode::stream && !request.entries.empty())
    {
        follower.next_index = after(follower.next_index, request.entries.size());
        follower.record_sent(before(follower.next_index), size_of(request.entries));
    }
    follower.sent_commit = this->current_hard_state.commit;
    this->outbox.push_back(std::move(request));
}

void node_core::send_snapshot_chunk(voter_id const& id, follower_progress& follower,
                                    std::uint64_t round)
{
    auto const& pending = *follower.pending_snapshot;
    auto chunk = this->make_message(message_type::snapshot_chunk, id);
    chunk.index = pending.index;
    chunk.log_term = pending.term;
    chunk.commit = this->current_hard_state.commit;
    chunk.round = round;
    chunk.reply_number = follower.last_reply_number;
    chunk.part = snapshot_part{
        pending.membership, follower.transferred_bytes, pending.data.size(),
        pending.data.substr(follower.transferred_bytes, this->options.snapshot_chunk_bytes)};
    follower.awaiting_reply = true;
    follower.chunk_sent_at = this->now;
    follower.chunk_round = round;
    this->outbox.push_back(std::move(chunk));
}

/// Sends an append that every follower accepts: it has no entries and its previous index is 0.
void node_core::send_empty_heartbeat(voter_id const& id, follower_progress const& follower,
                                     std::uint64_t round)
{
    auto request = this->make_message(message_type::append_request, id);
    request.commit = this->current_hard_state.commit;
    request.round = round;
    request.reply_number = follower.last_reply_number;
    this->outbox.push_back(std::move(request));
}

void node_core::on_append_reply(message const& reply)
{
    if (this->role != role::leader || reply.term != this->current_hard_state.term)
        return;
    auto const found = this->followers.find(reply.from);
    if (found == this->followers.end())
        return;
    auto& follower = found->second;
    this->record_acknowledgement(reply, follower);
    if (reply.rejected)
        return this->on_append_rejected(reply, follower);
    invariant(reply.index <= this->log.last_index(),
              "a follower has entries that the leader lacks");
    follower.advance_match(reply.index);
    if (follower.mode == replication_mode::snapshot)
    {
        if (follower.match_index >= follower.pending_snapshot->index)
            follower.start_probe(after(follower.match_index));
        else if (this->now >= follower.chunk_sent_at + this->options.heartbeat_interval * 2)
            follower.awaiting_reply = false;
    }
    else if (follower.mode == replication_mode::probe && reply.index >= before(follower.next_index))
    {
        follower.mode = replication_mode::stream;
    }
    if (follower.next_index <= follower.match_index)
        follower.next_index = after(follower.match_index);
    // Entries are sent after this node has stored them, so a voter that acknowledges one shows that
    // this node's copy is stored too. An only voter has no such evidence and commits in
    // take_ready().
    if (!this->is_only_voter())
        this->commit_by_quorum();
}

void node_core::on_append_rejected(message const& reply, follower_progress& follower)
{
    bool const is_stale =
        follower.mode == replication_mode::snapshot || reply.index <= follower.match_index ||
        reply.index >= follower.next_index ||
        (follower.mode == replication_mode::probe && reply.index != before(follower.next_index));
    if (is_stale)
        return;
    // The logs cannot agree beyond the last entry of the leader whose term is at most the term that
    // the follower has at the hint.
    auto const limit = std::min(reply.hint_index, before(reply.index));
    auto const last_possible_match = this->log.last_up_to_term(reply.hint_term, limit);
    follower.start_probe(after(std::max(last_possible_match, follower.match_index)));
}

void node_core::on_snapshot_reply(message const& reply)
{
    if (this->role != role::leader || reply.term != this->current_hard_state.term)
        return;
    auto const found = this->followers.find(reply.from);
    if (found == this->followers.end())
        return;
    auto& follower = found->second;
    this->record_acknowledgement(reply, follower);
    if (follower.mode != replication_mode::snapshot ||
        reply.index != follower.pending_snapshot->index)
        return;
    // Only the reply to the latest chunk is used, so that a duplicated reply does not start a
    // second sequence of chunks.
    if (!follower.awaiting_reply || reply.round != follower.chunk_round ||
        reply.received > follower.pending_snapshot->data.size())
        return;
    follower.transferred_bytes = reply.received;
    follower.awaiting_reply = false;
}

} // namespace lagoonladder::consensus
