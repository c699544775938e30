#include <algorithm>

#include "node_core.hpp"

namespace lagoonladder::consensus
{

namespace
{

/// Appends that may be on their way to one follower at a time.
constexpr std::uint64_t max_unanswered_appends = 16;

std::uint64_t size_of(std::vector<log_entry> const& entries)
{
    std::uint64_t bytes = 0;
    for (auto const& entry : entries)
        bytes += entry.data.size();
    return bytes;
}

} // namespace

bool node_core::wants_append(follower_progress const& follower) const
{
    if (follower.mode != replication_mode::stream)
        return !follower.awaiting_reply;
    return this->wants_entries(follower) || follower.sent_commit < this->hard.commit;
}

/// A new commit index goes out also when there is no room for entries, but alone.
bool node_core::wants_entries(follower_progress const& follower) const
{
    if (follower.mode != replication_mode::stream)
        return !follower.awaiting_reply;
    auto const unanswered = follower.next.value() - 1 - follower.match_index.value();
    bool const room = unanswered < max_unanswered_appends * this->options.max_entries_per_append &&
                      follower.unanswered_bytes < this->options.max_unanswered_bytes;
    return room && follower.next <= this->log.last_index();
}

void node_core::send_appends()
{
    bool const beat = std::exchange(this->heartbeat_due, false);
    bool const any =
        beat || std::any_of(this->followers.begin(), this->followers.end(),
                            [this](auto const& item) { return this->wants_append(item.second); });
    if (!any)
        return;
    auto const round = this->rounds.begin(this->now, this->options.election_timeout * 2);
    this->reads.assign_round(round);
    if (beat)
        this->last_heartbeat = this->now;
    for (auto& [id, follower] : this->followers)
        this->send_to(id, follower, round, beat);
}

void node_core::send_to(voter_id const& id, follower_progress& follower, std::uint64_t round,
                        bool beat)
{
    bool const wants = this->wants_append(follower);
    if (!wants && !beat)
        return;
    if (follower.mode != replication_mode::snapshot &&
        !this->log.term_at(before(follower.next)).has_value())
        follower.start_transfer(this->latest_snapshot);
    switch (follower.mode)
    {
    case replication_mode::snapshot:
        // A lost chunk is repeated only while the follower answers, so that
        // an unreachable one does not cost a chunk per heartbeat.
        if (!follower.awaiting_reply)
            this->send_chunk(id, follower, round);
        else
            this->send_plain_heartbeat(id, round);
        return;
    case replication_mode::probe:
        this->send_append(id, follower, round, this->wants_entries(follower));
        follower.awaiting_reply = true;
        return;
    case replication_mode::stream:
        do
            this->send_append(id, follower, round, this->wants_entries(follower));
        while (this->wants_append(follower));
    }
}

void node_core::send_append(voter_id const& id, follower_progress& follower, std::uint64_t round,
                            bool with_entries)
{
    auto request = this->make(message_type::append_request, id);
    request.index = before(follower.next);
    request.log_term = *this->log.term_at(request.index);
    request.commit = this->hard.commit;
    request.round = round;
    if (with_entries)
        request.entries = this->log.slice(follower.next, this->log.last_index(),
                                          this->options.max_entries_per_append,
                                          this->options.max_bytes_per_append);
    if (follower.mode == replication_mode::stream && !request.entries.empty())
    {
        follower.next = after(follower.next, request.entries.size());
        follower.note_sent(before(follower.next), size_of(request.entries));
    }
    follower.sent_commit = this->hard.commit;
    this->outbox.push_back(std::move(request));
}

void node_core::send_chunk(voter_id const& id, follower_progress& follower, std::uint64_t round)
{
    auto const& state = *follower.transfer;
    auto chunk = this->make(message_type::snapshot_chunk, id);
    chunk.index = state.index;
    chunk.log_term = state.term;
    chunk.round = round;
    chunk.part =
        snapshot_part{state.membership, follower.transferred, state.data.size(),
                      state.data.substr(follower.transferred, this->options.snapshot_chunk_bytes)};
    follower.awaiting_reply = true;
    follower.chunk_sent_at = this->now;
    follower.chunk_round = round;
    this->outbox.push_back(std::move(chunk));
}

/// An append that every follower accepts: it has no entries and follows index 0.
void node_core::send_plain_heartbeat(voter_id const& id, std::uint64_t round)
{
    auto request = this->make(message_type::append_request, id);
    request.round = round;
    this->outbox.push_back(std::move(request));
}

void node_core::on_append_reply(message const& reply)
{
    if (this->role != role::leader || reply.term != this->hard.term)
        return;
    auto const found = this->followers.find(reply.from);
    if (found == this->followers.end())
        return;
    auto& follower = found->second;
    this->note_answer(reply, follower);
    if (reply.rejected)
        return this->on_append_rejected(reply, follower);
    invariant(reply.index <= this->log.last_index(),
              "a follower has entries that the leader lacks");
    follower.note_match(reply.index);
    if (follower.mode == replication_mode::snapshot)
    {
        if (follower.match_index >= follower.transfer->index)
            follower.start_probe(after(follower.match_index));
        else if (this->now >= follower.chunk_sent_at + this->options.heartbeat_interval * 2)
            follower.awaiting_reply = false;
    }
    else if (follower.mode == replication_mode::probe && reply.index >= before(follower.next))
    {
        follower.mode = replication_mode::stream;
    }
    if (follower.next <= follower.match_index)
        follower.next = after(follower.match_index);
    this->commit_by_quorum();
}

void node_core::on_append_rejected(message const& reply, follower_progress& follower)
{
    bool const stale =
        follower.mode == replication_mode::snapshot || reply.index <= follower.match_index ||
        reply.index >= follower.next ||
        (follower.mode == replication_mode::probe && reply.index != before(follower.next));
    if (stale)
        return;
    // The logs cannot match_index beyond the last entry of the leader whose term is
    // at most the term that the follower has at the hint.
    auto const limit = std::min(reply.hint_index, before(reply.index));
    auto const candidate = this->log.last_up_to_term(reply.hint_term, limit);
    follower.start_probe(after(std::max(candidate, follower.match_index)));
}

void node_core::on_snapshot_reply(message const& reply)
{
    if (this->role != role::leader || reply.term != this->hard.term)
        return;
    auto const found = this->followers.find(reply.from);
    if (found == this->followers.end())
        return;
    auto& follower = found->second;
    this->note_answer(reply, follower);
    if (follower.mode != replication_mode::snapshot || reply.index != follower.transfer->index)
        return;
    // Only the answer to the latest chunk counts, so that a duplicated reply does
    // not start a second series of chunks.
    if (!follower.awaiting_reply || reply.round != follower.chunk_round ||
        reply.received > follower.transfer->data.size())
        return;
    follower.transferred = reply.received;
    follower.awaiting_reply = false;
}

} // namespace lagoonladder::consensus
