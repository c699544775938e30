#include <algorithm>

#include <consensus.grpc.pb.h>

#include "consensus_driver.hpp"

namespace lagoonladder::daemon
{

namespace
{

constexpr duration member_check_interval = milliseconds(500);
constexpr duration join_interval = seconds(1);
constexpr duration join_timeout = milliseconds(800);

/// Entries a learner may lack when the leader proposes to promote it; the node
/// itself refuses a learner that lacks committed ones.
constexpr std::uint64_t promotable_lag = 0;

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
    auto known = members.voters.find(id);
    if (known == members.voters.end())
    {
        known = members.learners.find(id);
        if (known == members.learners.end())
            known = members.voters.end();
    }
    if (known != members.voters.end())
    {
        if (known->second == address)
            return {true, {}, "already a member"};
        change.action = consensus::membership_change::operation::set_address;
    }
    auto const proposed = this->node.propose_membership(this->time.now(), change);
    this->schedule_flush();
    bool const accepted = proposed.status == consensus::change_status::accepted;
    if (accepted)
        this->events.emit(severity::info, "consensus.voter_joining",
                          {{"voter", id.value()}, {"address", address.value()}});
    return {accepted, {}, accepted ? "" : "another change is in progress"};
}

void consensus_driver::advance_members()
{
    auto const now = this->time.now();
    if (!this->is_leader() || now < this->next_member_check)
        return;
    this->next_member_check = now + member_check_interval;

    using operation = consensus::membership_change::operation;
    auto const& members = this->node.membership();
    for (auto const& follower : this->node.followers(now))
    {
        if (!follower.learner || !follower.active ||
            follower.match.value() + promotable_lag < this->node.commit_index().value())
            continue;
        auto const proposed =
            this->node.propose_membership(now, {operation::promote, follower.id, {}});
        if (proposed.status != consensus::change_status::accepted)
            continue;
        this->schedule_flush();
        this->events.emit(severity::info, "consensus.voter_promoted",
                          {{"voter", follower.id.value()}});
        return;
    }
    // Two voters of one VM: the one with the lost log is replaced by the one
    // that joined, which is active.
    for (auto const& follower : this->node.followers(now))
    {
        bool const replaced =
            std::any_of(members.voters.begin(), members.voters.end(),
                        [&](auto const& voter)
                        {
                            return voter.first != follower.id &&
                                   consensus::vm_of(voter.first) == consensus::vm_of(follower.id);
                        });
        if (!replaced || follower.active)
            continue;
        auto const proposed =
            this->node.propose_membership(now, {operation::remove, follower.id, {}});
        if (proposed.status != consensus::change_status::accepted)
            continue;
        this->schedule_flush();
        this->events.emit(severity::info, "consensus.voter_removed",
                          {{"voter", follower.id.value()}});
        return;
    }
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
    if (target.value().empty())
    {
        auto const& voters = this->options.initial_voters;
        target = voters[this->join_target++ % voters.size()].control;
    }
    if (target == this->options.control)
        return;
    std::shared_ptr stub = protocol::Consensus::NewStub(this->peers.channel(target));
    call_async<protocol::JoinReply>(
        this->context, this->peers, join_timeout, request,
        [stub](auto* call, auto const* sent, auto* reply, auto done)
        { stub->async()->Join(call, sent, reply, std::move(done)); },
        [this, stub](grpc::Status const& status, protocol::JoinReply& reply)
        {
            if (status.ok() && !reply.leader().empty())
                this->join_hint = network_address(reply.leader());
        });
}

void consensus_driver::identify_initial_voters()
{
    // Only the first initial voter founds the group, and only while all others
    // say that they hold no state: a founder that lost its disk must not found
    // a second group.
    auto const& voters = this->options.initial_voters;
    if (voters.front().vm != this->options.vm)
        return;
    this->empty_voters.clear();
    this->empty_voters.emplace(this->options.vm, this->node.self());
    if (voters.size() == 1)
        return this->found_group();
    for (auto const& voter : voters)
    {
        if (voter.vm == this->options.vm)
            continue;
        std::shared_ptr stub = protocol::Consensus::NewStub(this->peers.channel(voter.control));
        call_async<protocol::IdentifyReply>(
            this->context, this->peers, join_timeout, protocol::IdentifyRequest(),
            [stub](auto* call, auto const* sent, auto* reply, auto done)
            { stub->async()->Identify(call, sent, reply, std::move(done)); },
            [this, stub, vm = voter.vm](grpc::Status const& status, protocol::IdentifyReply& reply)
            {
                if (!status.ok() || reply.has_state() || reply.vm() != vm.value())
                    return;
                this->empty_voters[vm] = consensus::voter_id(reply.voter());
                if (this->empty_voters.size() == this->options.initial_voters.size())
                    this->found_group();
            });
    }
}

void consensus_driver::found_group()
{
    if (this->has_log() || this->stopped)
        return;
    consensus::membership members;
    for (auto const& voter : this->options.initial_voters)
        members.voters.emplace(this->empty_voters.at(voter.vm), voter.control);
    auto const state = consensus::founding_state(members);
    if (state.snapshot)
        this->log_store.save_snapshot(*state.snapshot);
    this->log_store.save(state.hard_state, state.entries, true);
    this->node = consensus::node(make_node_options(this->options, this->node.self()), state,
                                 this->random, this->time.now());
    this->events.emit(severity::info, "consensus.group_founded",
                      {{"voters", std::to_string(members.voters.size())}});
    this->schedule_flush();
}

} // namespace lagoonladder::daemon
