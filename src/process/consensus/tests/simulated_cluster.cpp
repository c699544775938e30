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
        auto& vm = *this->vms.emplace_back(std::make_unique<simulated_vm>());
        vm.name = vm_id("vm" + std::to_string(number));
        vm.id = make_voter_id(vm.name, this->random.next());
        vm.clock_rate = 0.99 + 0.02 * this->random.unit();
        initial.voters[vm.id] = network_address("10.0.0." + std::to_string(number) + ":1");
    }
    this->vms[0]->store.save_snapshot(*founding_state(initial).snapshot);
    for (auto& vm : this->vms)
        this->start(*vm);
}

time_point simulated_cluster::local_time(simulated_vm const& vm) const
{
    auto const elapsed = static_cast<double>(this->now.time_since_epoch().count());
    return time_point(duration(static_cast<duration::rep>(elapsed * vm.clock_rate)));
}

void simulated_cluster::start(simulated_vm& vm)
{
    auto const state = vm.store.load();
    vm.applied_index = state.snapshot ? state.snapshot->index.value() : 0;
    vm.state_digest =
        state.snapshot && !state.snapshot->data.empty() ? std::stoull(state.snapshot->data) : 0;
    auto own_options = this->options;
    own_options.self = vm.id;
    vm.node = std::make_unique<node>(own_options, state, this->random, this->local_time(vm));
}

void simulated_cluster::crash(simulated_vm& vm)
{
    vm.node.reset();
    if (vm.write && this->chance(0.3))
        this->store_entries(vm, vm.write->work);
    else if (vm.write)
        ++this->lost_writes;
    vm.write.reset();
    vm.store.discard_unsynced();
    vm.pending_proposals.clear();
    vm.min_index_by_read.clear();
    vm.waiting_reads.clear();
}

std::size_t simulated_cluster::lost_voters(membership const& members) const
{
    return static_cast<std::size_t>(std::count_if(
        members.voters.begin(), members.voters.end(),
        [this](auto const& voter)
        {
            return std::none_of(this->vms.begin(), this->vms.end(),
                                [&](auto const& vm) { return vm->id == voter.first; });
        }));
}

bool simulated_cluster::lose_disk(simulated_vm& vm)
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
    this->crash(vm);
    vm.store = {};
    vm.id = make_voter_id(vm.name, this->random.next());
    this->start(vm);
    ++this->lost_disks;
    return true;
}

simulated_vm* simulated_cluster::leader()
{
    simulated_vm* newest_leader = nullptr;
    for (auto& vm : this->vms)
        if (vm->node && vm->node->role() == role::leader &&
            (!newest_leader || vm->node->term() > newest_leader->node->term()))
            newest_leader = vm.get();
    return newest_leader;
}

void simulated_cluster::process_ready(simulated_vm& vm)
{
    while (vm.node && (vm.write || vm.node->has_ready()))
    {
        if (!vm.write)
            this->begin_write(vm);
        if (!vm.node)
            return;
        if (this->now < vm.write->ends_at || this->now < vm.disk_stalled_until)
            return this->continue_meanwhile(vm);
        this->end_write(vm);
    }
}

void simulated_cluster::begin_write(simulated_vm& vm)
{
    auto& write = vm.write.emplace();
    write.work = vm.node->take_ready();
    if (this->network.loss_probability > 0 && this->chance(0.0005))
        return this->crash(vm);
    bool const is_stored =
        write.work.hard_state || write.work.snapshot || !write.work.entries.empty();
    // In microseconds: up to 8 ms.
    write.ends_at = is_stored ? this->now + duration(this->random.below(8'000)) : this->now;
    write.is_applied = !write.work.restore && vm.node->membership().voters.size() > 1;
    if (!write.is_applied)
        return;
    for (auto const& entry : write.work.committed)
        this->apply(vm, entry);
}

void simulated_cluster::continue_meanwhile(simulated_vm& vm)
{
    if (!vm.write->is_applied)
        return;
    for (auto const& entry : vm.node->take_committed())
    {
        this->apply(vm, entry);
        ++this->applied_meanwhile;
    }
    this->serve_reads(vm);
    this->compact_sometimes(vm);
}

void simulated_cluster::end_write(simulated_vm& vm)
{
    auto const write = *std::exchange(vm.write, std::nullopt);
    this->store_entries(vm, write.work);
    if (this->network.loss_probability > 0 && this->chance(0.0005))
        return this->crash(vm);
    for (auto const& sent : write.work.messages)
        this->network.send(this->now, sent);
    if (write.work.restore)
        this->restore(vm, *write.work.restore);
    if (!write.is_applied)
        for (auto const& entry : write.work.committed)
            this->apply(vm, entry);
    vm.waiting_reads.insert(vm.waiting_reads.end(), write.work.reads.begin(),
                            write.work.reads.end());
    this->serve_reads(vm);
    this->compact_sometimes(vm);
}

void simulated_cluster::restore(simulated_vm& vm, snapshot const& state)
{
    vm.applied_index = state.index.value();
    vm.state_digest = state.data.empty() ? 0 : std::stoull(state.data);
    require(vm.applied_index <= 1 ||
                this->applied_history.at(vm.applied_index).second == vm.state_digest,
            "a snapshot differs from the applied entries at " + index_text(state.index));
    vm.pending_proposals.clear();
    ++this->restored_snapshots;
}

void simulated_cluster::compact_sometimes(simulated_vm& vm)
{
    if (vm.applied_index > vm.node->snapshot_index().value() + 20 && this->chance(0.3))
        vm.node->compact(log_index(vm.applied_index), std::to_string(vm.state_digest));
}

void simulated_cluster::store_entries(simulated_vm& vm, ready const& work)
{
    vm.store.save(work);
    auto const state = vm.store.load();
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

void simulated_cluster::apply(simulated_vm& vm, log_entry const& entry)
{
    auto const index = entry.index.value();
    require(index == vm.applied_index + 1, "an entry was skipped at " + index_text(entry.index));
    vm.applied_index = index;
    vm.state_digest = stable_hash(entry.data, vm.state_digest);
    auto const [found, added] =
        this->applied_history.try_emplace(index, std::pair(entry, vm.state_digest));
    require(found->second == std::pair(entry, vm.state_digest),
            "state machine safety violated at " + index_text(entry.index));
    auto const proposal_at_index = vm.pending_proposals.find(index);
    if (proposal_at_index == vm.pending_proposals.end())
        return;
    if (proposal_at_index->second.first == entry.term)
    {
        require(proposal_at_index->second.second == entry.data,
                "an acknowledged entry has other data");
        this->client_visible_index = std::max(this->client_visible_index, index);
        ++this->acknowledged_writes;
    }
    vm.pending_proposals.erase(proposal_at_index);
}

void simulated_cluster::serve_reads(simulated_vm& vm)
{
    std::erase_if(vm.waiting_reads,
                  [&](confirmed_read const& read)
                  {
                      if (read.index.value() > vm.applied_index)
                          return false;
                      require(vm.applied_index >= vm.min_index_by_read.at(read.context),
                              "a read misses an acknowledged write on " + vm.name.value());
                      vm.min_index_by_read.erase(read.context);
                      this->client_visible_index =
                          std::max(this->client_visible_index, vm.applied_index);
                      ++this->served_reads;
                      return true;
                  });
}

void simulated_cluster::write()
{
    auto& vm = this->chance(0.7) && this->leader() ? *this->leader() : this->random_vm();
    if (!vm.node || vm.paused_until > this->now)
        return;
    auto const data = "write " + std::to_string(++this->last_number);
    if (auto const position = vm.node->propose(this->local_time(vm), data))
        vm.pending_proposals[position->index.value()] = {position->term, data};
    this->process_ready(vm);
}

void simulated_cluster::read()
{
    auto& vm = this->random_vm();
    if (!vm.node || vm.paused_until > this->now)
        return;
    auto const context = ++this->last_number;
    if (vm.node->request_read(this->local_time(vm), context))
        vm.min_index_by_read[context] = this->client_visible_index;
    this->process_ready(vm);
}

void simulated_cluster::step()
{
    this->now += milliseconds(5);
    for (auto const& received : this->network.take_due(this->now))
        for (auto& vm : this->vms)
            if (vm->name == vm_of(received.to) && vm->node)
            {
                if (vm->paused_until > this->now)
                {
                    this->network.send(vm->paused_until, received);
                    continue;
                }
                vm->node->step(this->local_time(*vm), received);
                if (this->chance(0.7))
                    this->process_ready(*vm);
            }
    for (auto& vm : this->vms)
        if (vm->node && vm->paused_until <= this->now)
        {
            vm->node->tick(this->local_time(*vm));
            this->process_ready(*vm);
        }
    this->check_leaders();
    this->check_confirmations();
}

void simulated_cluster::run(duration duration_to_run)
{
    for (auto const end = this->now + duration_to_run; this->now < end;)
        this->step();
}

void simulated_cluster::check_leaders()
{
    std::size_t leases = 0;
    for (auto const& vm : this->vms)
    {
        if (!vm->node || vm->node->role() != role::leader)
            continue;
        auto const [found, added] = this->leaders.try_emplace(vm->node->term(), vm->id);
        require(found->second == vm->id,
                "two leaders in term " + std::to_string(vm->node->term().value()));
        leases += vm->node->has_valid_lease(this->local_time(*vm));
    }
    require(leases <= 1, "two valid leases");
    this->observed_leases += leases;
}

void simulated_cluster::check_confirmations()
{
    this->applied_by_time.emplace_back(
        this->now, this->applied_history.empty() ? 0 : this->applied_history.rbegin()->first);
    // The clocks differ by 2% at most, and a step takes 5 ms.
    auto const limit = this->now - this->options.election_timeout * 102 / 100 - milliseconds(10);
    while (this->applied_by_time.size() > 1 && this->applied_by_time[1].first <= limit)
        this->applied_by_time.pop_front();
    for (auto const& vm : this->vms)
    {
        if (!vm->node || vm->paused_until > this->now ||
            !vm->node->has_recent_commit(this->local_time(*vm)))
            continue;
        ++this->confirmations;
        require(vm->node->commit_index().value() >= this->applied_by_time.front().second,
                "an old state is confirmed on " + vm->name.value());
    }
}

void simulated_cluster::isolate(vm_id const& vm_name, bool inbound, bool outbound)
{
    for (auto const& other : this->vms)
    {
        if (other->name == vm_name)
            continue;
        if (inbound)
            this->network.cut_links.insert({other->name, vm_name});
        if (outbound)
            this->network.cut_links.insert({vm_name, other->name});
    }
}
