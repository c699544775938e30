#include "simulated_cluster.hpp"

using namespace lagoonladder;
using namespace lagoonladder::consensus;

namespace
{

void require(bool condition, std::string const& message)
{
    if (!condition)
        throw simulation_failure(message);
}

std::string index_text(log_index index)
{
    return std::to_string(index.value());
}

} // namespace

simulated_cluster::simulated_cluster(std::uint64_t seed, std::size_t size)
    : random(seed)
    , network(this->random)
    , now(seconds(10))
{
    set_invariant_handler([](std::string const& message) { throw simulation_failure(message); });
    this->options.election_timeout = milliseconds(300);
    this->options.heartbeat_interval = milliseconds(60);
    this->options.max_entries_per_append = 4;
    this->options.snapshot_chunk_bytes = 7;
    this->options.retained_entries = 5;
    membership initial;
    for (std::size_t number = 0; number < size; ++number)
    {
        auto& machine = *this->vms.emplace_back(std::make_unique<simulated_vm>());
        machine.vm = vm_id("vm" + std::to_string(number));
        machine.id = make_voter_id(machine.vm, this->random.next());
        machine.clock_rate = 0.99 + 0.02 * this->random.unit();
        initial.voters[machine.id] = network_address("10.0.0." + std::to_string(number) + ":1");
    }
    this->vms[0]->store.save_snapshot(*founding_state(initial).snapshot);
    for (auto& machine : this->vms)
        this->start(*machine);
}

time_point simulated_cluster::local_time(simulated_vm const& machine) const
{
    auto const elapsed = static_cast<double>(this->now.time_since_epoch().count());
    return time_point(duration(static_cast<duration::rep>(elapsed * machine.clock_rate)));
}

void simulated_cluster::start(simulated_vm& machine)
{
    auto const state = machine.store.load();
    machine.applied = state.snapshot ? state.snapshot->index.value() : 0;
    machine.digest =
        state.snapshot && !state.snapshot->data.empty() ? std::stoull(state.snapshot->data) : 0;
    auto own = this->options;
    own.self = machine.id;
    machine.node = std::make_unique<node>(own, state, this->random, this->local_time(machine));
}

void simulated_cluster::crash(simulated_vm& machine)
{
    machine.node.reset();
    machine.store.discard_unsynced();
    machine.proposed.clear();
    machine.min_index_by_read.clear();
    machine.waiting_reads.clear();
}

std::size_t simulated_cluster::lost_voters(membership const& members) const
{
    return static_cast<std::size_t>(std::count_if(
        members.voters.begin(), members.voters.end(),
        [this](auto const& voter)
        {
            return std::none_of(this->vms.begin(), this->vms.end(),
                                [&](auto const& machine) { return machine->id == voter.first; });
        }));
}

bool simulated_cluster::lose_disk(simulated_vm& machine)
{
    for (auto const& observer : this->vms)
    {
        if (!observer->node)
            return false;
        auto const& members = observer->node->membership();
        auto const voters = members.voters.size();
        if (voters > 0 && this->lost_voters(members) + 1 > (voters - 1) / 2)
            return false;
    }
    this->crash(machine);
    machine.store = {};
    machine.id = make_voter_id(machine.vm, this->random.next());
    this->start(machine);
    ++this->lost_disks;
    return true;
}

simulated_vm* simulated_cluster::leader()
{
    simulated_vm* found = nullptr;
    for (auto& machine : this->vms)
        if (machine->node && machine->node->role() == role::leader &&
            (!found || machine->node->term() > found->node->term()))
            found = machine.get();
    return found;
}

void simulated_cluster::process_ready(simulated_vm& machine)
{
    while (machine.node && machine.node->has_ready())
    {
        auto const work = machine.node->take_ready();
        if (this->network.loss_probability > 0 && this->chance(0.0005))
            return this->crash(machine);
        this->store_entries(machine, work);
        if (this->network.loss_probability > 0 && this->chance(0.0005))
            return this->crash(machine);
        for (auto const& sent : work.messages)
            this->network.send(this->now, sent);
        if (work.restore)
        {
            machine.applied = work.restore->index.value();
            machine.digest = work.restore->data.empty() ? 0 : std::stoull(work.restore->data);
            require(machine.applied <= 1 ||
                        this->applied_history.at(machine.applied).second == machine.digest,
                    "a snapshot differs from the applied entries at " +
                        index_text(work.restore->index));
            machine.proposed.clear();
            ++this->restored_snapshots;
        }
        for (auto const& entry : work.committed)
            this->apply(machine, entry);
        machine.waiting_reads.insert(machine.waiting_reads.end(), work.reads.begin(),
                                     work.reads.end());
        this->serve_reads(machine);
        if (machine.applied > machine.node->snapshot_index().value() + 20 && this->chance(0.3))
            machine.node->compact(log_index(machine.applied), std::to_string(machine.digest));
    }
}

void simulated_cluster::store_entries(simulated_vm& machine, ready const& work)
{
    machine.store.save(work);
    auto const state = machine.store.load();
    auto previous = state.snapshot ? state.snapshot->term : term_number();
    for (auto const& entry : state.entries)
    {
        auto const [found, added] = this->stored_entries.try_emplace(
            std::pair(entry.index.value(), entry.term), entry, previous);
        require(added || (found->second.first == entry && found->second.second == previous),
                "log matching violated at " + index_text(entry.index));
        previous = entry.term;
    }
}

void simulated_cluster::apply(simulated_vm& machine, log_entry const& entry)
{
    auto const index = entry.index.value();
    require(index == machine.applied + 1, "an entry was skipped at " + index_text(entry.index));
    machine.applied = index;
    machine.digest = stable_hash(entry.data, machine.digest);
    auto const [found, added] =
        this->applied_history.try_emplace(index, std::pair(entry, machine.digest));
    require(found->second == std::pair(entry, machine.digest),
            "state machine safety violated at " + index_text(entry.index));
    auto const proposed = machine.proposed.find(index);
    if (proposed == machine.proposed.end())
        return;
    if (proposed->second.first == entry.term)
    {
        require(proposed->second.second == entry.data, "an acknowledged entry has other data");
        this->client_visible_index = std::max(this->client_visible_index, index);
        ++this->acknowledged_writes;
    }
    machine.proposed.erase(proposed);
}

void simulated_cluster::serve_reads(simulated_vm& machine)
{
    std::erase_if(machine.waiting_reads,
                  [&](confirmed_read const& read)
                  {
                      if (read.index.value() > machine.applied)
                          return false;
                      require(machine.applied >= machine.min_index_by_read.at(read.context),
                              "a read misses an acknowledged write on " + machine.vm.value());
                      machine.min_index_by_read.erase(read.context);
                      this->client_visible_index =
                          std::max(this->client_visible_index, machine.applied);
                      ++this->served_reads;
                      return true;
                  });
}

void simulated_cluster::write()
{
    auto& machine = this->chance(0.7) && this->leader() ? *this->leader() : this->random_vm();
    if (!machine.node || machine.frozen_until > this->now)
        return;
    auto const data = "write " + std::to_string(++this->next_number);
    if (auto const position = machine.node->propose(this->local_time(machine), data))
        machine.proposed[position->index.value()] = {position->term, data};
    this->process_ready(machine);
}

void simulated_cluster::read()
{
    auto& machine = this->random_vm();
    if (!machine.node || machine.frozen_until > this->now)
        return;
    auto const context = ++this->next_number;
    if (machine.node->request_read(this->local_time(machine), context))
        machine.min_index_by_read[context] = this->client_visible_index;
    this->process_ready(machine);
}

void simulated_cluster::step()
{
    this->now += milliseconds(5);
    for (auto const& received : this->network.take_due(this->now))
        for (auto& machine : this->vms)
            if (machine->vm == vm_of(received.to) && machine->node)
            {
                if (machine->frozen_until > this->now)
                {
                    this->network.send(machine->frozen_until, received);
                    continue;
                }
                machine->node->step(this->local_time(*machine), received);
                if (this->chance(0.7))
                    this->process_ready(*machine);
            }
    for (auto& machine : this->vms)
        if (machine->node && machine->frozen_until <= this->now)
        {
            machine->node->tick(this->local_time(*machine));
            this->process_ready(*machine);
        }
    this->check();
}

void simulated_cluster::run(duration duration_to_run)
{
    for (auto const end = this->now + duration_to_run; this->now < end;)
        this->step();
}

void simulated_cluster::check()
{
    std::size_t leases = 0;
    for (auto const& machine : this->vms)
    {
        if (!machine->node || machine->node->role() != role::leader)
            continue;
        auto const [found, added] = this->leaders.try_emplace(machine->node->term(), machine->id);
        require(found->second == machine->id,
                "two leaders in term " + std::to_string(machine->node->term().value()));
        leases += machine->node->has_valid_lease(this->local_time(*machine));
    }
    require(leases <= 1, "two valid leases");
    this->leases_seen += leases;
}

void simulated_cluster::isolate(vm_id const& vm, bool inbound, bool outbound)
{
    for (auto const& other : this->vms)
    {
        if (other->vm == vm)
            continue;
        if (inbound)
            this->network.cut_links.insert({other->vm, vm});
        if (outbound)
            this->network.cut_links.insert({vm, other->vm});
    }
}
