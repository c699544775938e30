#include "node_core.hpp"

#include <algorithm>

namespace lagoonladder::consensus
{

namespace
{

node_options validated(node_options options)
{
    if (options.self.value().empty())
        throw consensus_error("node_options.self is empty");
    if (options.heartbeat_interval <= duration(0) ||
        options.heartbeat_interval * 2 > options.election_timeout)
        throw consensus_error("heartbeat_interval must be positive and at most half of "
                              "election_timeout");
    if (options.max_entries_per_append == 0 || options.snapshot_chunk_bytes == 0)
        throw consensus_error("max_entries_per_append and snapshot_chunk_bytes must be positive");
    return options;
}

} // namespace

node_core::node_core(node_options initial_options, persistent_state const& state,
                     random_source& source, time_point start)
    : options(validated(std::move(initial_options)))
    , current_hard_state(state.hard_state)
    , log(state)
    , random(source)
    , now(start)
    , last_leader_contact(start)
    , replies(source.next() / 2)
    , read_nonce(source.next())
{
    // A received snapshot may have been stored before the hard state with its term. This node sent
    // no reply in that term yet, so it cannot have voted in it.
    if (this->current_hard_state.term < this->log.last_term())
        this->current_hard_state = {this->log.last_term(), voter_id(),
                                    this->current_hard_state.commit};
    this->current_hard_state.commit =
        std::clamp(this->current_hard_state.commit, this->log.base(), this->log.last_index());
    if (state.snapshot)
        this->latest_snapshot = std::make_shared<snapshot const>(*state.snapshot);
    this->emitted_hard_state = this->current_hard_state;
    this->emitted_index = this->log.last_index();
    this->applied_index = this->log.base();
    this->reset_election_timer();
}

void node_core::advance_time(time_point time)
{
    this->now = std::max(this->now, time);
    if (this->role == role::leader)
        this->check_quorum();
}

void node_core::tick(time_point time)
{
    this->advance_time(time);
    this->fail_expired_reads();
    if (this->role == role::leader)
    {
        if (this->now >= this->last_heartbeat + this->options.heartbeat_interval)
            this->heartbeat_due = true;
    }
    else if (this->now >= this->election_deadline)
    {
        this->start_prevote();
    }
}

void node_core::step(time_point time, message const& received)
{
    // Messages to an earlier incarnation of this VM may still arrive.
    if (received.to != this->options.self)
        return;
    this->advance_time(time);
    if (received.term > this->current_hard_state.term)
        this->adopt_higher_term(received);
    this->dispatch(received);
}

void node_core::adopt_higher_term(message const& received)
{
    switch (received.type)
    {
    case message_type::prevote_request:
    case message_type::read_request:
    case message_type::read_reply:
        return;
    case message_type::prevote_reply:
        // A granted prevote carries the term of the intended election, which no node has entered
        // yet.
        if (received.rejected)
            this->become_follower(received.term, std::nullopt);
        return;
    case message_type::vote_request:
        if (!this->must_withhold_vote())
            this->become_follower(received.term, std::nullopt);
        return;
    default:
        this->become_follower(received.term, std::nullopt);
    }
}

void node_core::dispatch(message const& received)
{
    switch (received.type)
    {
    case message_type::prevote_request:
        return this->on_prevote_request(received);
    case message_type::vote_request:
        return this->on_vote_request(received);
    case message_type::prevote_reply:
    case message_type::vote_reply:
        return this->on_vote_reply(received);
    case message_type::append_request:
        return this->on_append_request(received);
    case message_type::append_reply:
        return this->on_append_reply(received);
    case message_type::snapshot_chunk:
        return this->on_snapshot_chunk(received);
    case message_type::snapshot_reply:
        return this->on_snapshot_reply(received);
    case message_type::read_request:
        return this->on_read_request(received);
    case message_type::read_reply:
        return this->on_read_reply(received);
    }
}

void node_core::become_follower(term_number term, std::optional<voter_id> const& new_leader)
{
    invariant(term >= this->current_hard_state.term, "the term would decrease");
    if (term > this->current_hard_state.term)
        this->current_hard_state = {term, voter_id(), this->current_hard_state.commit};
    else
        invariant(!this->leader || !new_leader || this->leader == new_leader,
                  "two leaders in one term");
    if (this->leader != new_leader || this->role == role::leader)
        this->fail_reads();
    bool const was_following = this->role == role::follower;
    this->role = role::follower;
    this->leader = new_leader;
    this->followers.clear();
    this->votes.clear();
    this->heartbeat_due = false;
    if (!was_following)
        this->reset_election_timer();
}

message node_core::make_message(message_type type, voter_id const& to) const
{
    message result;
    result.type = type;
    result.from = this->options.self;
    result.to = to;
    result.term = this->current_hard_state.term;
    return result;
}

/// Reply to an append request or a snapshot chunk.
message node_core::make_reply(message_type type, message const& request)
{
    auto reply = this->make_message(type, request.from);
    reply.round = request.round;
    reply.reply_number = this->replies.begin(this->now, this->options.election_timeout * 2);
    return reply;
}

void node_core::advance_commit(log_index index)
{
    if (index <= this->current_hard_state.commit)
        return;
    invariant(index <= this->log.last_index(),
              "an entry that is not in the log would be committed");
    this->current_hard_state.commit = index;
}

bool node_core::has_ready() const
{
    if (this->current_hard_state != this->emitted_hard_state ||
        this->emitted_index < this->log.last_index() || this->snapshot_to_store ||
        this->snapshot_to_restore || !this->outbox.empty() ||
        this->applied_index < this->current_hard_state.commit || !this->confirmed_reads.empty() ||
        !this->failed_reads.empty() || this->is_elected_by_own_vote())
        return true;
    return this->role == role::leader &&
           (this->heartbeat_due ||
            std::any_of(this->followers.begin(), this->followers.end(),
                        [this](auto const& item) { return this->needs_append(item.second); }));
}

ready node_core::take_ready()
{
    ready work;
    if (this->is_elected_by_own_vote())
        this->become_leader();
    this->collect_persistent_state(work);
    if (this->role == role::leader)
    {
        this->commit_by_quorum();
        this->send_appends();
        this->confirm_reads();
    }
    if (this->current_hard_state != this->emitted_hard_state)
    {
        work.must_sync = work.must_sync ||
                         this->current_hard_state.term != this->emitted_hard_state.term ||
                         this->current_hard_state.vote != this->emitted_hard_state.vote;
        work.hard_state = this->current_hard_state;
        this->emitted_hard_state = this->current_hard_state;
    }
    work.messages = std::exchange(this->outbox, {});
    work.committed = this->take_committed();
    work.reads = std::exchange(this->confirmed_reads, {});
    work.failed_reads = std::exchange(this->failed_reads, {});
    return work;
}

std::vector<log_entry> node_core::take_committed()
{
    if (this->snapshot_to_restore || this->applied_index >= this->current_hard_state.commit)
        return {};
    auto const first = after(this->applied_index);
    this->applied_index = this->current_hard_state.commit;
    return this->log.slice(first, this->applied_index, UINT64_MAX, UINT64_MAX);
}

void node_core::collect_persistent_state(ready& work)
{
    work.snapshot = std::exchange(this->snapshot_to_store, std::nullopt);
    work.restore = std::exchange(this->snapshot_to_restore, std::nullopt);
    if (this->emitted_index < this->log.last_index())
        work.entries = this->log.slice(after(this->emitted_index), this->log.last_index(),
                                       UINT64_MAX, UINT64_MAX);
    this->emitted_index = this->log.last_index();
    work.must_sync = work.snapshot || !work.entries.empty();
}

} // namespace lagoonladder::consensus
