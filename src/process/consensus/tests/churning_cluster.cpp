#include "churning_cluster.hpp"

#include <algorithm>

using namespace lagoonladder;
using namespace lagoonladder::consensus;

namespace
{

/// Interval at which a daemon that is not a voter requests to join, and at which the leader checks
/// its members.
constexpr duration check_interval = milliseconds(100);
/// Time that a heartbeat takes to the other VMs at most.
constexpr duration gossip_delay = milliseconds(1'500);
/// Time from the loss of a VM until its successor starts.
constexpr duration replacement_delay = seconds(2);

} // namespace

churning_cluster::churning_cluster(std::uint64_t seed, std::size_t size,
                                   membership_policy_options options)
    : cluster(seed, size)
    , policy_options(options)
    , next_name(size)
{
    this->cluster.run(seconds(2));
}

void churning_cluster::run(duration length)
{
    for (auto const end = this->cluster.now + length; this->cluster.now < end;)
        this->step();
}

void churning_cluster::start_calls()
{
    this->has_calls = true;
    this->cluster.network.duplication_probability = 0.02;
    this->cluster.network.delay_probability = 0.01;
}

void churning_cluster::kill_all_after(duration delay)
{
    this->next_kill = this->cluster.now + delay;
}

void churning_cluster::run_until_acknowledged()
{
    auto const before = this->cluster.acknowledged_writes;
    auto const end = this->cluster.now + milliseconds(500);
    while (this->cluster.acknowledged_writes == before && this->cluster.now < end)
        this->step();
}

void churning_cluster::lose_disk_and_power(simulated_vm& victim, loss kind)
{
    this->stop_all(seconds(1), seconds(2));
    // Nobody remembers the heartbeats from before.
    this->last_heartbeats.clear();
    this->policies.clear();
    auto const name = victim.name;
    if (kind == loss::replaced)
        this->exchange(name);
    else
        this->wipe(victim);
    this->run(seconds(2) + milliseconds(5));
}

void churning_cluster::power_off(simulated_vm& vm, duration time)
{
    this->cluster.crash(vm);
    this->starts[vm.name] = this->cluster.now + time;
}

void churning_cluster::lose_disk(simulated_vm& vm, duration time)
{
    this->power_off(vm, time);
    this->wipe(vm);
}

simulated_vm& churning_cluster::victim(bool prefers_leader)
{
    if (auto* leader = this->cluster.leader(); leader && prefers_leader)
        return *leader;
    return *this->cluster.vms[this->cluster.random.below(this->cluster.vms.size())];
}

void churning_cluster::lose(simulated_vm& vm, loss kind)
{
    this->cluster.write();
    auto const name = vm.name;
    if (kind == loss::cut)
    {
        this->isolate(name);
    }
    else
    {
        this->cluster.crash(vm);
        this->starts.erase(name);
    }
    this->run(replacement_delay);
    switch (kind)
    {
    case loss::replaced:
        this->cluster.start(this->exchange(name));
        break;
    case loss::wiped:
        this->wipe(vm);
        this->cluster.start(vm);
        break;
    case loss::cut:
        this->run(milliseconds(this->cluster.random.below(7'000)));
        this->reconnect();
        break;
    case loss::killed:
        this->cluster.start(vm);
        break;
    }
    this->run(catch_up_time);
}

bool churning_cluster::can_write()
{
    auto const before = this->cluster.acknowledged_writes;
    for (int round = 0; round < 100; ++round)
    {
        this->cluster.write();
        this->run(milliseconds(100));
        if (this->cluster.acknowledged_writes > before)
            return true;
    }
    return false;
}

std::optional<duration> churning_cluster::time_since_heartbeat(time_point, vm_id const& vm) const
{
    auto const found = this->last_heartbeats.find(vm);
    if (found == this->last_heartbeats.end())
        return std::nullopt;
    return std::max<duration>(this->cluster.now - found->second - gossip_delay, duration(0));
}

void churning_cluster::isolate(vm_id const& name)
{
    this->isolated_vm = name;
    this->cluster.isolate(name, true, true);
}

void churning_cluster::reconnect()
{
    this->isolated_vm = {};
    this->cluster.network.cut_links.clear();
}

void churning_cluster::step()
{
    if (this->cluster.now >= this->next_kill)
        this->stop_all(milliseconds(1), seconds(1));
    this->start_due();
    if (this->cluster.now >= this->next_check)
        this->maintain_members();
    if (this->has_calls && this->cluster.random.unit() < 0.2)
        this->cluster.write();
    if (this->has_calls && this->cluster.random.unit() < 0.1)
        this->cluster.read();
    if (this->has_calls && this->cluster.random.unit() < 0.002)
        this->stall_a_disk();
    this->cluster.step();
}

void churning_cluster::stop_all(duration min_delay, duration max_delay)
{
    this->next_kill = time_point::max();
    for (auto const& vm : this->cluster.vms)
    {
        if (!vm->node && !this->starts.contains(vm->name))
            continue;
        this->cluster.crash(*vm);
        auto const range = static_cast<std::uint64_t>((max_delay - min_delay).count());
        this->starts[vm->name] =
            this->cluster.now + min_delay +
            duration(static_cast<duration::rep>(this->cluster.random.below(range)));
    }
}

void churning_cluster::stall_a_disk()
{
    auto& vm = this->victim(false);
    vm.disk_stalled_until = this->cluster.now + milliseconds(this->cluster.random.below(200));
}

void churning_cluster::start_due()
{
    for (auto const& vm : this->cluster.vms)
    {
        auto const found = this->starts.find(vm->name);
        if (found == this->starts.end() || found->second > this->cluster.now)
            continue;
        this->starts.erase(found);
        this->cluster.start(*vm);
    }
}

void churning_cluster::wipe(simulated_vm& vm)
{
    vm.store = {};
    vm.id = make_voter_id(vm.name, this->cluster.random.next());
}

simulated_vm& churning_cluster::exchange(vm_id const& name)
{
    std::erase_if(this->cluster.vms, [&](auto const& vm) { return vm->name == name; });
    auto& successor = *this->cluster.vms.emplace_back(std::make_unique<simulated_vm>());
    successor.name = vm_id("vm" + std::to_string(this->next_name++));
    successor.id = make_voter_id(successor.name, this->cluster.random.next());
    if (auto start = this->starts.extract(name))
    {
        start.key() = successor.name;
        this->starts.insert(std::move(start));
    }
    return successor;
}

void churning_cluster::maintain_members()
{
    this->next_check = this->cluster.now + check_interval;
    this->record_heartbeats();
    this->request_joins();
    for (auto const& vm : this->cluster.vms)
    {
        if (!vm->node)
            continue;
        auto const now = this->cluster.local_time(*vm);
        auto& policy =
            this->policies.try_emplace(vm->id, *this, this->policy_options).first->second;
        for (auto const& wanted : policy.wanted_changes(now, *vm->node))
        {
            if (vm->node->propose_membership(now, wanted.change).status == change_status::accepted)
                break;
        }
    }
}

void churning_cluster::record_heartbeats()
{
    for (auto const& vm : this->cluster.vms)
    {
        if (vm->node && vm->name != this->isolated_vm)
            this->last_heartbeats[vm->name] = this->cluster.now;
    }
}

void churning_cluster::request_joins()
{
    auto* leader = this->cluster.leader();
    if (!leader)
        return;
    for (auto const& vm : this->cluster.vms)
    {
        if (vm->node && vm->name != this->isolated_vm &&
            !leader->node->membership().contains(vm->id))
            leader->node->propose_membership(
                this->cluster.local_time(*leader),
                {membership_change::operation::add_learner, vm->id, network_address("10.0.0.9:1")});
    }
}
