#include <algorithm>

#include "node_core.hpp"

namespace lagoonladder::consensus
{

void node_core::follow(message const& from_leader)
{
    invariant(this->role != role::leader, "two leaders in one term");
    this->become_follower(from_leader.term, from_leader.from);
    this->leader_heard_at = this->now;
    this->reset_election_timer();
}

void node_core::on_append_request(message const& request)
{
    if (request.term < this->hard.term)
        return this->reject_append(request);
    this->follow(request);
    // Committed entries match_index those of every leader, so the comparison starts
    // after them; the entries before may have been compacted.
    bool const known = request.index < this->hard.commit;
    if (!known && this->log.term_at(request.index) != request.log_term)
        return this->reject_append(request);
    this->accept_entries(request);
}

void node_core::reject_append(message const& request)
{
    auto reply = this->make(message_type::append_reply, request.from);
    reply.round = request.round;
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
        if (entry.index <= this->hard.commit)
        {
            auto const own = this->log.term_at(entry.index);
            invariant(!own || *own == entry.term, "a committed entry differs from the leader's");
            continue;
        }
        auto const own = this->log.term_at(entry.index);
        if (own == entry.term)
            continue;
        if (own)
        {
            this->log.truncate_from(entry.index);
            this->handed_out = std::min(this->handed_out, before(entry.index));
        }
        this->log.append(entry);
    }
    auto const matching = std::max(after(request.index, request.entries.size()), this->hard.commit);
    if (request.commit > this->hard.commit)
        this->advance_commit(std::min(request.commit, matching));
    auto reply = this->make(message_type::append_reply, request.from);
    reply.round = request.round;
    reply.index = matching;
    this->outbox.push_back(std::move(reply));
}

void node_core::on_snapshot_chunk(message const& chunk)
{
    if (chunk.term < this->hard.term)
        return this->reject_append(chunk);
    if (!chunk.part)
        return;
    this->follow(chunk);
    bool complete = chunk.index <= this->hard.commit;
    if (!complete && this->assembly.add(chunk))
    {
        this->install_snapshot(this->assembly.take());
        complete = true;
    }
    auto const type = complete ? message_type::append_reply : message_type::snapshot_reply;
    auto reply = this->make(type, chunk.from);
    reply.round = chunk.round;
    reply.index = complete ? this->hard.commit : chunk.index;
    reply.received = complete ? 0 : this->assembly.received();
    this->outbox.push_back(std::move(reply));
}

void node_core::install_snapshot(snapshot received)
{
    invariant(received.index > this->hard.commit, "a snapshot would undo committed entries");
    if (this->log.term_at(received.index) == received.term)
        return this->advance_commit(received.index);
    this->log.reset(received);
    this->hard.commit = received.index;
    this->handed_out = received.index;
    this->applied = received.index;
    this->latest_snapshot = std::make_shared<snapshot const>(received);
    this->to_restore = received;
    this->to_store = std::move(received);
}

} // namespace lagoonladder::consensus
