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
    if (now < this->next_member_check)
        return;
    this->next_member_check = now + member_check_interval;
    for (auto const& wanted : this->change_policy.wanted_changes(now, this->node))
    {
        if (this->propose_change(wanted))
            return;
    }
}

bool consensus_driver::propose_change(consensus::wanted_change const& wanted)
{
    auto const proposed = this->node.propose_membership(this->time.now(), wanted.change);
    if (proposed.status != consensus::change_status::accepted)
        return false;
    this->schedule_flush();
    bool const is_removal = wanted.change.action == consensus::membership_change::operation::remove;
    this->events.emit(severity::info,
                      is_removal ? "consensus.voter_removed" : "consensus.voter_promoted",
                      {{"voter", wanted.change.id.value()}, {"reason", to_string(wanted.reason)}});
    return true;
}

bool consensus_driver::lacks_leader()
{
    auto const now = this->time.now();
    if (this->last_quorum_contact == time_point())
        this->last_quorum_contact = now;
    auto const contact = this->node.quorum_contact_confirmed_at();
    this->last_quorum_contact = std::max(this->last_quorum_contact, contact.value_or(time_point()));
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
    if (this->has_log() || this->stopped || !this->usable || this->log_worker.is_busy())
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
        return this->suspend(problem.what());
    }
    this->node = consensus::node(make_node_options(this->options, this->node.self()), state,
                                 this->random, this->time.now());
    this->events.emit(severity::info, "consensus.group_founded",
                      {{"voters", std::to_string(members.voters.size())}});
    this->schedule_flush();
}

} // namespace lagoonladder::control
