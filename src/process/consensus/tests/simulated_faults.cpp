#include "simulated_cluster.hpp"

using namespace lagoonladder;
using namespace lagoonladder::consensus;

void simulated_cluster::inject_faults()
{
    this->inject_network_faults();
    this->inject_vm_faults();
    // Without writes, the log of a VM that the leader cannot reach stays up to date, so that the
    // others can elect it; with writes they cannot.
    if (this->chance(0.01))
        this->write_rate = this->chance(0.5) ? 0 : 0.3;
    if (this->chance(this->write_rate))
        this->write();
    if (this->chance(0.2))
        this->read();
    if (this->chance(0.1))
        this->repair();
    if (this->chance(0.003))
        this->change_membership();
}

void simulated_cluster::inject_network_faults()
{
    if (this->chance(0.01))
    {
        this->network.loss_probability = 0.001 + 0.2 * this->random.unit() * this->random.unit();
        this->network.duplication_probability = 0.2 * this->random.unit();
        this->network.delay_probability = 0.1 * this->random.unit();
    }
    if (this->chance(0.01))
        this->network.cut_links.clear();
    if (this->chance(0.004))
        this->isolate(this->random_vm().name, true, true);
    if (this->chance(0.002))
        this->isolate(this->random_vm().name, this->chance(0.5), this->chance(0.5));
    if (this->chance(0.004))
        this->cut_link(this->chance(0.5));
}

// Two VMs that both reach only a third one are the hardest case for leases: the third VM receives
// messages of the leader and of the candidate.
void simulated_cluster::cut_link(bool both_ways)
{
    auto const& first_vm = this->random_vm().name;
    auto const& second_vm = this->random_vm().name;
    this->network.cut_links.insert({first_vm, second_vm});
    if (both_ways)
        this->network.cut_links.insert({second_vm, first_vm});
}

void simulated_cluster::inject_vm_faults()
{
    auto& vm = this->random_vm();
    if (this->chance(0.004) && vm.node)
        this->crash(vm);
    if (this->chance(0.004))
        vm.paused_until = this->now + milliseconds(this->random.below(1500));
    if (this->chance(0.004))
        vm.disk_stalled_until = this->now + milliseconds(this->random.below(3000));
    if (this->chance(0.002) && this->lose_disk(vm) && this->chance(0.5))
        this->crash(this->random_vm());
    for (auto& stopped : this->vms)
        if (!stopped->node && this->chance(0.02))
            this->start(*stopped);
}

void simulated_cluster::change_membership()
{
    auto* current_leader = this->leader();
    if (!current_leader || current_leader->paused_until > this->now)
        return;
    // Removing a voter while the log of another one is lost may leave fewer than a quorum.
    if (this->lost_voters(current_leader->node->membership()) > 0)
        return;
    membership_change change{membership_change::operation::remove, this->random_vm().id, {}};
    if (this->chance(0.2))
        change = {membership_change::operation::set_address, change.id,
                  network_address("10.1.1.1:1")};
    current_leader->node->propose_membership(this->local_time(*current_leader), change);
    this->process_ready(*current_leader);
}

void simulated_cluster::repair()
{
    using operation = membership_change::operation;
    auto* current_leader = this->leader();
    if (!current_leader || current_leader->paused_until > this->now)
        return;
    auto const members = current_leader->node->membership();
    auto const propose = [&](operation action, voter_id const& id)
    {
        current_leader->node->propose_membership(this->local_time(*current_leader),
                                                 {action, id, network_address("10.0.0.9:1")});
    };
    for (auto const& vm : this->vms)
    {
        if (!members.contains(vm->id))
            propose(operation::add_learner, vm->id);
        else if (members.learners.contains(vm->id))
            propose(operation::promote, vm->id);
        for (auto const* group : {&members.voters, &members.learners})
            for (auto const& [id, address] : *group)
                if (vm_of(id) == vm->name && id != vm->id && members.voters.contains(vm->id))
                    propose(operation::remove, id);
    }
    this->process_ready(*current_leader);
}

void simulated_cluster::heal_and_converge()
{
    this->network.cut_links.clear();
    this->network.loss_probability = this->network.duplication_probability =
        this->network.delay_probability = 0;
    for (auto& vm : this->vms)
    {
        vm->paused_until = {};
        vm->disk_stalled_until = {};
        if (!vm->node)
            this->start(*vm);
    }
    auto const has_converged = [this]
    {
        for (auto const& vm : this->vms)
        {
            auto const& members = vm->node->membership();
            if (members.voters.size() != this->vms.size() || !members.learners.empty() ||
                !members.voters.contains(vm->id) ||
                vm->applied_index < this->client_visible_index ||
                vm->applied_index != this->vms[0]->applied_index)
                return false;
        }
        return this->leader() != nullptr;
    };
    auto const before = this->acknowledged_writes;
    for (int round = 0; round < 400; ++round)
    {
        this->run(milliseconds(50));
        this->repair();
        if (this->acknowledged_writes == before)
            this->write();
        else if (has_converged())
            return;
    }
    std::string states;
    for (auto const& vm : this->vms)
        states += "; " + vm->id.value() + " role " +
                  std::to_string(static_cast<int>(vm->node->role())) + " term " +
                  std::to_string(vm->node->term().value()) + " commit " +
                  std::to_string(vm->node->commit_index().value()) + " last " +
                  std::to_string(vm->node->last_index().value()) + " membership " +
                  nlohmann::json(vm->node->membership()).dump();
    throw simulation_failure("no convergence 20 s after the last fault" + states);
}
