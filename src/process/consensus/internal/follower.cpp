#include <algorithm>

#include "node_core.hpp"

namespace lagoonladder::consensus
{

void node_core::accept_leader(message const& from_leader)
{
    invariant(this->role != role::leader, "two leaders in one term");
    this->become_follower(from_leader.term, from_leader.from);
    this->last_leader_contact = this->now;
    this->reset_election_timer();
    this->record_leader_commit(from_leader);
}

/// Only the first commit index that this follower lacks is kept: when it is reached, everything
/// that it covers is known. The message may be late by any time, so what it says counts from the
/// reply that the leader had received before it.
void node_core::record_leader_commit(message const& from_leader)
{
    bool const is_other_leader =
        this->awaited_commit && this->awaited_commit->term != from_leader.term;
    if (is_other_leader)
        this->awaited_commit.reset();
    auto const as_of = this->replies.sent_at(from_leader.reply_number);
    if (!as_of)
        return;
    this->leader_contact_confirmed_at = std::max(this->leader_contact_confirmed_at, *as_of);
    if (!this->awaited_commit)
        this->awaited_commit = {from_leader.commit, from_leader.term, *as_of};
}

void node_core::confirm_commit()
{
    if (!this->awaited_commit || this->current_hard_state.commit < this->awaited_commit->index)
        return;
    // Until the leader has committed an entry of its term, its commit index may lack entries that
    // an earlier leader committed.
    auto const commit_term = this->log.term_at(this->current_hard_state.commit);
    if (commit_term == this->awaited_commit->term)
        this->follower_commit_confirmed_at =
            std::max(this->follower_commit_confirmed_at, this->awaited_commit->as_of);
    this->awaited_commit.reset();
}

void node_core::on_append_request(message const& request)
{
    if (request.term < this->current_hard_state.term)
        return this->reject_append(request);
    this->accept_leader(request);
    // Committed entries are the same on every leader, so the comparison starts after them. Earlier
    // entries may have been compacted.
    bool const is_committed = request.index < this->current_hard_state.commit;
    if (!is_committed && this->log.term_at(request.index) != request.log_term)
        return this->reject_append(request);
    this->accept_entries(request);
}

void node_core::reject_append(message const& request)
{
    auto reply = this->make_reply(message_type::append_reply, request);
    reply.rejected = true;
    reply.index = request.index;
    reply.hint_index =
        std::max(this->log.base(), this->log.last_up_to_term(request.log_term, request.index));
    reply.hint_term = *this->log.term_at(reply.hint_index);
    this->outbox.push_back(std::move(reply));
}

void node_core::accept_entries(message const& request)
{
    for (auto const& entry : request.entries)
    {
        if (entry.index <= this->current_hard_state.commit)
        {
            auto const own_term = this->log.term_at(entry.index);
            invariant(!own_term || *own_term == entry.term,
                      "a committed entry differs from the leader's");
            continue;
        }
        auto const own_term = this->log.term_at(entry.index);
        if (own_term == entry.term)
            continue;
        if (own_term)
        {
            this->log.truncate_from(entry.index);
            this->emitted_index = std::min(this->emitted_index, before(entry.index));
        }
        this->log.append(entry);
    }
    auto const match_index =
        std::max(after(request.index, request.entries.size()), this->current_hard_state.commit);
    if (request.commit > this->current_hard_state.commit)
        this->advance_commit(std::min(request.commit, match_index));
    this->confirm_commit();
    auto reply = this->make_reply(message_type::append_reply, request);
    reply.index = match_index;
    this->outbox.push_back(std::move(reply));
}

void node_core::on_snapshot_chunk(message const& chunk)
{
    if (chunk.term < this->current_hard_state.term)
        return this->reject_append(chunk);
    if (!chunk.part)
        return;
    this->accept_leader(chunk);
    bool is_complete = chunk.index <= this->current_hard_state.commit;
    if (!is_complete && this->assembly.add(chunk))
    {
        this->install_snapshot(this->assembly.take());
        is_complete = true;
    }
    this->confirm_commit();
    auto const type = is_complete ? message_type::append_reply : message_type::snapshot_reply;
    auto reply = this->make_reply(type, chunk);
    reply.index = is_complete ? this->current_hard_state.commit : chunk.index;
    reply.received = is_complete ? 0 : this->assembly.received();
    this->outbox.push_back(std::move(reply));
}

void node_core::install_snapshot(snapshot received)
{
    invariant(received.index > this->current_hard_state.commit,
              "a snapshot would undo committed entries");
    if (this->log.term_at(received.index) == received.term)
        return this->advance_commit(received.index);
    this->log.reset(received);
    this->current_hard_state.commit = received.index;
    this->emitted_index = received.index;
    this->applied_index = received.index;
    this->latest_snapshot = std::make_shared<snapshot const>(received);
    this->snapshot_to_restore = received;
    this->snapshot_to_store = std::move(received);
}

} // namespace lagoonladder::consensus
