#include <algorithm>

#include "node_core.hpp"

namespace lagoonladder::consensus
{

log_index node_core::append_to_log(entry_kind kind, std::string data)
{
    auto const index = after(this->log.last_index());
    this->log.append({index, this->current_hard_state.term, kind, std::move(data)});
    this->update_followers();
    return index;
}

std::optional<proposal> node_core::propose(time_point time, std::string data)
{
    this->advance_time(time);
    if (this->role != role::leader)
        return std::nullopt;
    return proposal{this->append_to_log(entry_kind::command, std::move(data)),
                    this->current_hard_state.term};
}

bool node_core::has_active_quorum(std::map<voter_id, network_address> const& voters) const
{
    auto const active_count = std::count_if(
        voters.begin(), voters.end(),
        [this](auto const& voter)
        {
            if (voter.first == this->options.self)
                return true;
            auto const found = this->followers.find(voter.first);
            return found != this->followers.end() && this->is_active(found->second, this->now);
        });
    return static_cast<std::size_t>(active_count) >= voters.size() / 2 + 1;
}

change_status node_core::validate_change(membership_change const& change) const
{
    using operation = membership_change::operation;
    if (this->role != role::leader)
        return change_status::not_leader;
    // Two leaders that change the membership without a commit in between could
    // have quorums that do not overlap.
    if (!this->is_term_committed())
        return change_status::term_not_committed;
    if (this->log.latest_membership_index() > this->current_hard_state.commit)
        return change_status::change_in_progress;
    auto const& members = this->log.latest_membership();
    bool const is_voter = members.voters.contains(change.id);
    bool const is_learner = members.learners.contains(change.id);
    if (change.action == operation::add_learner)
        return is_voter || is_learner ? change_status::already_member : change_status::accepted;
    if (!is_voter && !is_learner)
        return change_status::unknown_member;
    if (change.action == operation::set_address)
        return change_status::accepted;
    auto voters = members.voters;
    if (change.action == operation::promote)
    {
        if (is_voter)
            return change_status::already_member;
        auto const& follower = this->followers.at(change.id);
        if (follower.match_index < this->current_hard_state.commit ||
            !this->is_active(follower, this->now))
            return change_status::learner_behind;
        voters.emplace(change.id, network_address());
    }
    else
    {
        voters.erase(change.id);
        if (voters.empty())
            return change_status::last_voter;
    }
    return this->has_active_quorum(voters) ? change_status::accepted
                                           : change_status::no_quorum_after_change;
}

proposed_change node_core::propose_membership(time_point time, membership_change const& change)
{
    using operation = membership_change::operation;
    this->advance_time(time);
    auto const status = this->validate_change(change);
    if (status != change_status::accepted)
        return {status, std::nullopt};
    auto new_membership = this->log.latest_membership();
    switch (change.action)
    {
    case operation::add_learner:
        new_membership.learners.emplace(change.id, change.address);
        break;
    case operation::promote:
        new_membership.voters.insert(new_membership.learners.extract(change.id));
        break;
    case operation::remove:
        new_membership.voters.erase(change.id);
        new_membership.learners.erase(change.id);
        break;
    case operation::set_address:
        (new_membership.voters.contains(change.id) ? new_membership.voters
                                                   : new_membership.learners)[change.id] =
            change.address;
        break;
    }
    auto const index =
        this->append_to_log(entry_kind::membership, encode_membership(new_membership));
    return {status, proposal{index, this->current_hard_state.term}};
}

bool node_core::request_read(time_point time, std::uint64_t context)
{
    this->advance_time(time);
    if (!this->leader)
        return false;
    auto request = this->make_message(message_type::read_request, *this->leader);
    request.round = this->read_nonce;
    request.context = context;
    if (this->role == role::leader)
    {
        this->on_read_request(request);
        return true;
    }
    this->forwarded_reads[context] = this->now;
    this->outbox.push_back(std::move(request));
    return true;
}

void node_core::on_read_request(message const& request)
{
    pending_read read{request.from, request.round, request.context, {}, 0};
    if (this->role != role::leader)
        return this->reply_to_read(read, true);
    bool const has_committed_in_term = this->is_term_committed();
    this->reads.add(std::move(read), has_committed_in_term, this->current_hard_state.commit);
    if (has_committed_in_term)
        this->heartbeat_due = true;
}

void node_core::reply_to_read(pending_read const& read, bool rejected)
{
    if (read.requester == this->options.self)
    {
        if (rejected)
            this->failed_reads.push_back(read.context);
        else
            this->confirmed_reads.push_back({read.context, read.index});
        return;
    }
    auto reply = this->make_message(message_type::read_reply, read.requester);
    reply.round = read.nonce;
    reply.context = read.context;
    reply.index = read.index;
    reply.rejected = rejected;
    this->outbox.push_back(std::move(reply));
}

void node_core::on_read_reply(message const& reply)
{
    if (reply.round != this->read_nonce || this->forwarded_reads.erase(reply.context) == 0)
        return;
    if (reply.rejected)
        this->failed_reads.push_back(reply.context);
    else
        this->confirmed_reads.push_back({reply.context, reply.index});
}

void node_core::fail_reads()
{
    for (auto const& read : this->reads.take_all())
        this->reply_to_read(read, true);
    for (auto const& [context, requested_at] : this->forwarded_reads)
        this->failed_reads.push_back(context);
    this->forwarded_reads.clear();
}

void node_core::fail_expired_reads()
{
    std::erase_if(this->forwarded_reads,
                  [this](auto const& read)
                  {
                      bool const is_expired =
                          this->now >= read.second + this->options.election_timeout;
                      if (is_expired)
                          this->failed_reads.push_back(read.first);
                      return is_expired;
                  });
}

void node_core::compact(log_index index, std::string data)
{
    invariant(index <= this->applied_index, "entries that are not applied would be compacted");
    if (this->latest_snapshot && index <= this->latest_snapshot->index)
        return;
    snapshot new_snapshot{index, *this->log.term_at(index), this->log.membership_at(index),
                          std::move(data)};
    this->latest_snapshot = std::make_shared<snapshot const>(new_snapshot);
    this->snapshot_to_store = std::move(new_snapshot);
    // The snapshot replaces entries that were applied before they were stored.
    this->emitted_index = std::max(this->emitted_index, index);
    if (index.value() > this->options.retained_entries)
        this->log.compact_to(log_index(index.value() - this->options.retained_entries));
}

} // namespace lagoonladder::consensus
