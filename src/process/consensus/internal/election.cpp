#include <algorithm>

#include "node_core.hpp"

namespace lagoonladder::consensus
{

void node_core::reset_election_timer()
{
    auto const jitter_range = static_cast<std::uint64_t>(this->options.election_timeout.count());
    this->election_deadline =
        this->now + this->options.election_timeout +
        duration(static_cast<duration::rep>(this->random.below(jitter_range)));
}

// A voter that received a message of the leader within one election timeout grants no vote; the
// leader's lease relies on this. A restarted voter counts the timeout from its start.
bool node_core::must_withhold_vote() const
{
    return this->role == role::leader ||
           this->now < this->last_leader_contact + this->options.election_timeout;
}

bool node_core::is_log_up_to_date(message const& candidate) const
{
    return std::pair(candidate.log_term, candidate.index) >=
           std::pair(this->log.last_term(), this->log.last_index());
}

// A voter whose removal is not committed may hold the only copy of that entry, and the others may
// need its log. It therefore campaigns, without counting its own vote.
bool node_core::may_campaign() const
{
    auto const& self = this->options.self;
    return this->log.latest_membership().voters.contains(self) ||
           this->log.membership_at(this->current_hard_state.commit).voters.contains(self);
}

void node_core::start_prevote()
{
    this->reset_election_timer();
    if (!this->may_campaign())
        return;
    this->become_follower(this->current_hard_state.term, std::nullopt);
    this->role = role::precandidate;
    this->votes = {{this->options.self, true}};
    this->request_votes(message_type::prevote_request,
                        term_number(this->current_hard_state.term.value() + 1));
    this->count_votes();
}

void node_core::start_election()
{
    this->current_hard_state.term = term_number(this->current_hard_state.term.value() + 1);
    this->current_hard_state.vote = this->options.self;
    this->role = role::candidate;
    this->leader.reset();
    this->votes = {{this->options.self, true}};
    this->reset_election_timer();
    this->request_votes(message_type::vote_request, this->current_hard_state.term);
}

/// Whether this node's own vote decides the election and is stored. Others grant theirs on a
/// request that was sent after this node had stored its own.
bool node_core::is_elected_by_own_vote() const
{
    return this->role == role::candidate && this->is_only_voter() &&
           this->emitted_hard_state.term == this->current_hard_state.term &&
           this->emitted_hard_state.vote == this->options.self;
}

void node_core::request_votes(message_type type, term_number campaign_term)
{
    for (auto const& [id, address] : this->log.latest_membership().voters)
    {
        if (id == this->options.self)
            continue;
        auto request = this->make_message(type, id);
        request.term = campaign_term;
        request.index = this->log.last_index();
        request.log_term = this->log.last_term();
        this->outbox.push_back(std::move(request));
    }
}

void node_core::become_leader()
{
    this->role = role::leader;
    this->leader = this->options.self;
    this->votes.clear();
    this->followers.clear();
    this->leader_since = this->now;
    this->term_start = this->append_to_log(entry_kind::no_operation, {});
    this->heartbeat_due = true;
}

void node_core::on_prevote_request(message const& request)
{
    auto reply = this->make_message(message_type::prevote_reply, request.from);
    reply.rejected = request.term <= this->current_hard_state.term || this->must_withhold_vote() ||
                     !this->is_log_up_to_date(request);
    if (!reply.rejected)
        reply.term = request.term;
    this->outbox.push_back(std::move(reply));
}

void node_core::on_vote_request(message const& request)
{
    if (this->must_withhold_vote())
        return;
    auto reply = this->make_message(message_type::vote_reply, request.from);
    bool const can_vote = this->current_hard_state.vote.value().empty() ||
                          this->current_hard_state.vote == request.from;
    reply.rejected = request.term != this->current_hard_state.term || !can_vote ||
                     !this->is_log_up_to_date(request);
    if (!reply.rejected)
    {
        this->current_hard_state.vote = request.from;
        this->reset_election_timer();
    }
    this->outbox.push_back(std::move(reply));
}

void node_core::on_vote_reply(message const& reply)
{
    bool const is_prevote = reply.type == message_type::prevote_reply;
    auto const expected_role = is_prevote ? role::precandidate : role::candidate;
    auto const expected_term = is_prevote && !reply.rejected
                                   ? term_number(this->current_hard_state.term.value() + 1)
                                   : this->current_hard_state.term;
    if (this->role != expected_role || reply.term != expected_term)
        return;
    this->votes.emplace(reply.from, !reply.rejected);
    this->count_votes();
}

void node_core::count_votes()
{
    auto const& voters = this->log.latest_membership().voters;
    auto const granted_count =
        std::count_if(this->votes.begin(), this->votes.end(),
                      [&](auto const& vote) { return vote.second && voters.contains(vote.first); });
    if (!this->is_quorum(static_cast<std::size_t>(granted_count)))
        return;
    if (this->role == role::precandidate)
        this->start_election();
    else
        this->become_leader();
}

} // namespace lagoonladder::consensus
