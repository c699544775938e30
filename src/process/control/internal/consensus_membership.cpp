#include <algorithm>

#include <consensus.grpc.pb.h>

#include "consensus_driver.hpp"

namespace lagoonladder::control
{

namespace
{

constexpr duration member_check_interval = milliseconds(100);
/// A voter that starts with an empty disk does not count towards the quorum until it has joined.
/// The interval is short since another disk may be lost soon after.
constexpr duration join_interval = milliseconds(200);
constexpr duration join_timeout = milliseconds(800);

/// Log entries that a learner may lack when the leader proposes to promote it. The node itself
/// refuses a learner that lacks committed entries.
constexpr std::uint64_t max_promotable_lag = 0;

/// Longer than a usual network partition or a stop for maintenance.
constexpr duration dead_voter_timeout = seconds(10);
/// Active voters that have to remain when a dead voter is removed, so that one more may fail.
constexpr std::size_t min_active_voters = 3;
constexpr duration lost_leader_timeout = seconds(3);

} // namespace

consensus_driver::join_result consensus_driver::join(consensus::voter_id const& id,
                                                     network_address const& address)
{
    if (!this->is_leader())
        return {false, this->leader_address().value(), "not the leader"};
    auto const& members = this->node.membership();
    consensus::membership_change change;
    change.id = id;
    change.address = address;
    auto member = members.voters.find(id);
    if (member == members.voters.end())
    {
        member = members.learners.find(id);
        if (member == members.learners.end())
            member = members.voters.end();
    }
    if (member != members.voters.end())
    {
        if (member->second == address)
            return {true, {}, "already a member"};
        change.action = consensus::membership_change::operation::set_address;
    }
    auto const proposed = this->node.propose_membership(this->time.now(), change);
    this->schedule_flush();
    bool const accepted = proposed.status == consensus::change_status::accepted;
    if (accepted)
        this->events.emit(severity::info, "consensus.voter_joining",
                          {{"voter", id.value()}, {"address", address.value()}});
    return {accepted, {}, accepted ? "" : "another membership change is in progress"};
}

void consensus_driver::advance_membership()
{
    auto const now = this->time.now();
    if (!this->is_leader())
    {
        this->inactive_since.clear();
        return;
    }
    if (now < this->next_member_check)
        return;
    this->next_member_check = now + member_check_interval;
    this->update_activity();
    if (this->promote_learner() || this->remove_replaced_voter())
        return;
    this->remove_dead_voter();
}

void consensus_driver::update_activity()
{
    auto const now = this->time.now();
    for (auto const& follower : this->node.followers(now))
    {
        if (follower.is_active)
            this->inactive_since.erase(follower.id);
        else
            this->inactive_since.try_emplace(follower.id, now);
    }
}

bool consensus_driver::promote_learner()
{
    using operation = consensus::membership_change::operation;
    auto const now = this->time.now();
    for (auto const& follower : this->node.followers(now))
    {
        if (!follower.is_learner || !follower.is_active ||
            follower.match_index.value() + max_promotable_lag < this->node.commit_index().value())
            continue;
        auto const proposed =
            this->node.propose_membership(now, {operation::promote, follower.id, {}});
        if (proposed.status != consensus::change_status::accepted)
            continue;
        this->schedule_flush();
        this->events.emit(severity::info, "consensus.voter_promoted",
                          {{"voter", follower.id.value()}});
        return true;
    }
    return false;
}

bool consensus_driver::remove_replaced_voter()
{
    // When a VM has two voters, the inactive one lost its log and is replaced by the active one,
    // which joined later.
    auto const& members = this->node.membership();
    for (auto const& follower : this->node.followers(this->time.now()))
    {
        bool const is_replaced =
            std::any_of(members.voters.begin(), members.voters.end(),
                        [&](auto const& voter)
                        {
                            return voter.first != follower.id &&
                                   consensus::vm_of(voter.first) == consensus::vm_of(follower.id);
                        });
        if (is_replaced && !follower.is_active && this->propose_removal(follower.id, "replaced"))
            return true;
    }
    return false;
}

void consensus_driver::remove_dead_voter()
{
    // A VM that never returns would count towards the quorum forever. One that does return joins
    // again.
    auto const now = this->time.now();
    auto const& members = this->node.membership();
    auto const inactive = static_cast<std::size_t>(
        std::count_if(this->inactive_since.begin(), this->inactive_since.end(),
                      [&](auto const& item) { return members.voters.contains(item.first); }));
    if (members.voters.size() - inactive < min_active_voters)
        return;
    for (auto const& [id, since] : this->inactive_since)
    {
        bool const is_dead = now - since >= dead_voter_timeout && members.contains(id);
        if (is_dead && this->propose_removal(id, "silent"))
            return;
    }
}

bool consensus_driver::propose_removal(consensus::voter_id const& id, char const* reason)
{
    auto const proposed = this->node.propose_membership(
        this->time.now(), {consensus::membership_change::operation::remove, id, {}});
    if (proposed.status != consensus::change_status::accepted)
        return false;
    this->schedule_flush();
    this->events.emit(severity::info, "consensus.voter_removed",
                      {{"voter", id.value()}, {"reason", reason}});
    return true;
}

bool consensus_driver::lacks_leader()
{
    auto const now = this->time.now();
    if (this->node.has_recent_quorum(now) || this->last_quorum_contact == time_point())
        this->last_quorum_contact = now;
    return now - this->last_quorum_contact >= lost_leader_timeout;
}

void consensus_driver::request_join()
{
    this->next_join = this->time.now() + join_interval;
    if (!this->has_log())
        this->identify_initial_voters();

    protocol::JoinRequest request;
    request.set_voter(this->node.self().value());
    request.set_address(this->options.control.value());
    auto target = this->leader_address();
    if (!this->join_hint.value().empty())
        target = std::exchange(this->join_hint, {});
    if (target.value().empty() || this->lacks_leader())
    {
        std::vector<network_address> candidates;
        for (auto const& voter : this->options.initial_voters)
            candidates.push_back(voter.control);
        if (this->voter_source)
        {
            for (auto const& address : this->voter_source())
                candidates.push_back(address);
        }
        target = candidates[this->join_target++ % candidates.size()];
    }
    if (target == this->options.control)
    {
        this->next_join = this->time.now();
        return;
    }
    std::shared_ptr stub = protocol::Consensus::NewStub(this->peers.channel(target));
    call_async<protocol::JoinReply>(
        this->context, this->peers, join_timeout, request,
        [stub](auto* call, auto const* sent, auto* reply, auto done)
        { stub->async()->Join(call, sent, reply, std::move(done)); },
        [this, stub](grpc::Status const& status, protocol::JoinReply& reply)
        {
            if (!status.ok() || reply.leader().empty())
                return;
            this->join_hint = network_address(reply.leader());
            this->next_join = this->time.now();
        });
}

void consensus_driver::identify_initial_voters()
{
    // Only the first initial voter founds the group, and only while all others report that they
    // have no state: a founder that lost its disk must not found a second group.
    auto const& voters = this->options.initial_voters;
    if (!this->options.may_found_group || !this->is_self(voters.front()))
        return;
    this->empty_voters.clear();
    this->empty_voters.emplace(voters.front().control, this->node.self());
    if (voters.size() == 1)
        return this->bootstrap_group();
    for (auto const& voter : voters)
    {
        if (this->is_self(voter))
            continue;
        std::shared_ptr stub = protocol::Consensus::NewStub(this->peers.channel(voter.control));
        call_async<protocol::IdentifyReply>(
            this->context, this->peers, join_timeout, protocol::IdentifyRequest(),
            [stub](auto* call, auto const* sent, auto* reply, auto done)
            { stub->async()->Identify(call, sent, reply, std::move(done)); },
            [this, stub, voter](grpc::Status const& status, protocol::IdentifyReply& reply)
            {
                bool const is_expected = voter.vm.value().empty() || reply.vm() == voter.vm.value();
                if (!status.ok() || reply.has_state() || !is_expected)
                    return;
                this->empty_voters[voter.control] = consensus::voter_id(reply.voter());
                if (this->empty_voters.size() == this->options.initial_voters.size())
                    this->bootstrap_group();
            });
    }
}

bool consensus_driver::is_self(config::initial_voter const& voter) const
{
    if (voter.vm.value().empty())
        return voter.control == this->options.control;
    return voter.vm == this->options.vm;
}

void consensus_driver::bootstrap_group()
{
    if (this->has_log() || this->stopped || !this->usable)
        return;
    consensus::membership members;
    for (auto const& voter : this->options.initial_voters)
        members.voters.emplace(this->empty_voters.at(voter.control), voter.control);
    auto const state = consensus::founding_state(members);
    try
    {
        if (state.snapshot)
            this->log_store.save_snapshot(*state.snapshot);
        this->log_store.save(state.hard_state, state.entries, true);
    }
    catch (storage::storage_error const& problem)
    {
        return this->suspend(problem);
    }
    this->node = consensus::node(make_node_options(this->options, this->node.self()), state,
                                 this->random, this->time.now());
    this->events.emit(severity::info, "consensus.group_founded",
                      {{"voters", std::to_string(members.voters.size())}});
    this->schedule_flush();
}

} // namespace lagoonladder::control
