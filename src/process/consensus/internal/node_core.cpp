#include "node_core.hpp"

#include <algorithm>

namespace lagoonladder::consensus
{

namespace
{

node_options checked(node_options options)
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
    : options(checked(std::move(initial_options)))
    , hard(state.hard_state)
    , log(state)
    , random(source)
    , now(start)
    , leader_heard_at(start)
    , read_nonce(source.next())
{
    // A snapshot is stored before the hard state of its term. Nothing was
    // answered in that term yet, so no vote can have been given in it.
    if (this->hard.term < this->log.last_term())
        this->hard = {this->log.last_term(), voter_id(), this->hard.commit};
    this->hard.commit = std::clamp(this->hard.commit, this->log.base(), this->log.last_index());
    if (state.snapshot)
        this->latest_snapshot = std::make_shared<snapshot const>(*state.snapshot);
    this->handed_out_hard = this->hard;
    this->handed_out = this->log.last_index();
    this->applied = this->log.base();
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
    this->fail_late_reads();
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
    // A former incarnation of this VM may still get messages.
    if (received.to != this->options.self)
        return;
    this->advance_time(time);
    if (received.term > this->hard.term)
        this->take_higher_term(received);
    this->dispatch(received);
}

void node_core::take_higher_term(message const& received)
{
    switch (received.type)
    {
    case message_type::prevote_request:
    case message_type::read_request:
    case message_type::read_reply:
        return;
    case message_type::prevote_reply:
        // A granted prevote carries the term of the campaign, which nobody is in yet.
        if (received.rejected)
            this->become_follower(received.term, std::nullopt);
        return;
    case message_type::vote_request:
        if (!this->is_within_lease())
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
    invariant(term >= this->hard.term, "the term would decrease");
    if (term > this->hard.term)
        this->hard = {term, voter_id(), this->hard.commit};
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

message node_core::make(message_type type, voter_id const& to) const
{
    message result;
    result.type = type;
    result.from = this->options.self;
    result.to = to;
    result.term = this->hard.term;
    return result;
}

void node_core::advance_commit(log_index index)
{
    if (index <= this->hard.commit)
        return;
    invariant(index <= this->log.last_index(),
              "an entry that is not in the log would be committed");
    this->hard.commit = index;
}

bool node_core::has_ready() const
{
    if (this->hard != this->handed_out_hard || this->handed_out < this->log.last_index() ||
        this->to_store || this->to_restore || !this->outbox.empty() ||
        this->applied < this->hard.commit || !this->confirmed_reads.empty() ||
        !this->failed_reads.empty())
        return true;
    return this->role == role::leader &&
           (this->heartbeat_due ||
            std::any_of(this->followers.begin(), this->followers.end(),
                        [this](auto const& item) { return this->wants_append(item.second); }));
}

ready node_core::take_ready()
{
    ready work;
    this->collect_state(work);
    if (this->role == role::leader)
    {
        this->commit_by_quorum();
        this->send_appends();
        this->confirm_reads();
    }
    if (this->hard != this->handed_out_hard)
    {
        work.must_sync = work.must_sync || this->hard.term != this->handed_out_hard.term ||
                         this->hard.vote != this->handed_out_hard.vote;
        work.hard_state = this->hard;
        this->handed_out_hard = this->hard;
    }
    work.messages = std::exchange(this->outbox, {});
    if (this->applied < this->hard.commit)
        work.committed =
            this->log.slice(after(this->applied), this->hard.commit, UINT64_MAX, UINT64_MAX);
    this->applied = this->hard.commit;
    work.reads = std::exchange(this->confirmed_reads, {});
    work.failed_reads = std::exchange(this->failed_reads, {});
    return work;
}

void node_core::collect_state(ready& work)
{
    work.snapshot = std::exchange(this->to_store, std::nullopt);
    work.restore = std::exchange(this->to_restore, std::nullopt);
    if (this->handed_out < this->log.last_index())
        work.entries = this->log.slice(after(this->handed_out), this->log.last_index(), UINT64_MAX,
                                       UINT64_MAX);
    this->handed_out = this->log.last_index();
    work.must_sync = work.snapshot || !work.entries.empty();
}

} // namespace lagoonladder::consensus
