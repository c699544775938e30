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
        this->isolate(this->random_vm().vm, true, true);
    if (this->chance(0.002))
        this->isolate(this->random_vm().vm, this->chance(0.5), this->chance(0.5));
    if (this->chance(0.004))
        this->cut_link(this->chance(0.5));
}

// Two VMs that both reach only a third one are the hardest case for leases: the third VM receives
// messages of the leader and of the candidate.
void simulated_cluster::cut_link(bool both_ways)
{
    auto const& one = this->random_vm().vm;
    auto const& other = this->random_vm().vm;
    this->network.cut_links.insert({one, other});
    if (both_ways)
        this->network.cut_links.insert({other, one});
}

void simulated_cluster::inject_vm_faults()
{
    auto& machine = this->random_vm();
    if (this->chance(0.004) && machine.node)
        this->crash(machine);
    if (this->chance(0.004))
        machine.frozen_until = this->now + milliseconds(this->random.below(1500));
    if (this->chance(0.002) && this->lose_disk(machine) && this->chance(0.5))
        this->crash(this->random_vm());
    for (auto& stopped : this->vms)
        if (!stopped->node && this->chance(0.02))
            this->start(*stopped);
}

void simulated_cluster::change_membership()
{
    auto* current = this->leader();
    if (!current || current->frozen_until > this->now)
        return;
    // Removing a voter while the log of another one is lost may leave fewer than a quorum.
    if (this->lost_voters(current->node->membership()) > 0)
        return;
    membership_change change{membership_change::operation::remove, this->random_vm().id, {}};
    if (this->chance(0.2))
        change = {membership_change::operation::set_address, change.id,
                  network_address("10.1.1.1:1")};
    current->node->propose_membership(this->local_time(*current), change);
    this->process_ready(*current);
}

void simulated_cluster::repair()
{
    using operation = membership_change::operation;
    auto* current = this->leader();
    if (!current || current->frozen_until > this->now)
        return;
    auto const members = current->node->membership();
    auto const propose = [&](operation action, voter_id const& id)
    {
        current->node->propose_membership(this->local_time(*current),
                                          {action, id, network_address("10.0.0.9:1")});
    };
    for (auto const& machine : this->vms)
    {
        if (!members.contains(machine->id))
            propose(operation::add_learner, machine->id);
        else if (members.learners.contains(machine->id))
            propose(operation::promote, machine->id);
        for (auto const* group : {&members.voters, &members.learners})
            for (auto const& [id, address] : *group)
                if (vm_of(id) == machine->vm && id != machine->id &&
                    members.voters.contains(machine->id))
                    propose(operation::remove, id);
    }
    this->process_ready(*current);
}

void simulated_cluster::heal_and_converge()
{
    this->network.cut_links.clear();
    this->network.loss_probability = this->network.duplication_probability =
        this->network.delay_probability = 0;
    for (auto& machine : this->vms)
    {
        machine->frozen_until = {};
        if (!machine->node)
            this->start(*machine);
    }
    auto const target = [this]
    {
        for (auto const& machine : this->vms)
        {
            auto const& members = machine->node->membership();
            if (members.voters.size() != this->vms.size() || !members.learners.empty() ||
                !members.voters.contains(machine->id) ||
                machine->applied < this->client_visible_index ||
                machine->applied != this->vms[0]->applied)
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
        else if (target())
            return;
    }
    std::string states;
    for (auto const& machine : this->vms)
        states += "; " + machine->id.value() + " role " +
                  std::to_string(static_cast<int>(machine->node->role())) + " term " +
                  std::to_string(machine->node->term().value()) + " commit " +
                  std::to_string(machine->node->commit_index().value()) + " last " +
                  std::to_string(machine->node->last_index().value()) + " membership " +
                  nlohmann::json(machine->node->membership()).dump();
    throw simulation_failure("no convergence 20 s after the last fault" + states);
}
