#include "consensus_driver.hpp"

#include <algorithm>

namespace lagoonladder::control
{

namespace
{

/// Two heartbeats may be lost before followers start an election. More frequent ones would cost
/// an idle leader processor time and bandwidth.
constexpr int heartbeats_per_election_timeout = 3;
constexpr int ticks_per_heartbeat = 4;
constexpr duration expiry_interval = seconds(5);
constexpr duration reopen_interval = seconds(1);
/// After a snapshot, at most 1/8 of the entries between two snapshots is kept in memory for
/// followers that lag slightly.
constexpr std::uint64_t retained_entries_divisor = 8;

char const* to_string(consensus::role role)
{
    switch (role)
    {
    case consensus::role::follower:
        return "follower";
    case consensus::role::precandidate:
        return "precandidate";
    case consensus::role::candidate:
        return "candidate";
    case consensus::role::leader:
        return "leader";
    }
    return "unknown";
}

/// Returns the message of a storage error, or no value if the task has succeeded. Throws other
/// exceptions.
std::optional<std::string> storage_failure(std::exception_ptr const& problem)
{
    if (!problem)
        return std::nullopt;
    try
    {
        std::rethrow_exception(problem);
    }
    catch (storage::storage_error const& failure)
    {
        return failure.what();
    }
}

} // namespace

consensus::node_options make_node_options(config::settings const& config, consensus::voter_id self)
{
    consensus::node_options options;
    options.self = std::move(self);
    options.election_timeout = config.election_timeout;
    options.heartbeat_interval = config.election_timeout / heartbeats_per_election_timeout;
    options.retained_entries = std::min(options.retained_entries,
                                        config.snapshot_after_entries / retained_entries_divisor);
    return options;
}

consensus_driver::consensus_driver(std::shared_ptr<asio::io_context> io,
                                   config::settings const& config, consensus::voter_id self,
                                   storage::log_store& store, peer_channels& channels,
                                   consensus::liveness_source const& liveness,
                                   telemetry const& sinks, random_source& random_numbers)
    : context(io)
    , options(config)
    , log_store(store)
    , peers(channels)
    , events(sinks.events)
    , time(sinks.time)
    , random(random_numbers)
    , node(make_node_options(config, self), this->load(), random_numbers, sinks.time.now())
    , sender(io, channels, self, config.control, config.election_timeout / 2, sinks)
    , timer(*io)
    , change_policy(liveness)
    , writer(io, sinks)
{
}

consensus::persistent_state consensus_driver::load()
{
    auto state = this->log_store.load();
    this->restore_control_state(state);
    return state;
}

void consensus_driver::restore_control_state(consensus::persistent_state const& state)
{
    this->control_state = {};
    this->applied_index = 0;
    if (!state.snapshot || state.snapshot->data.empty())
        return;
    this->control_state.restore(state.snapshot->data);
    this->applied_index = state.snapshot->index.value();
}

void consensus_driver::suspend(std::string const& reason)
{
    this->usable = false;
    this->next_reopen = this->time.now() + reopen_interval;
    this->events.emit(severity::error, "storage.lost", {{"reason", reason}});
    this->fail_pending();
}

void consensus_driver::reopen()
{
    if (this->time.now() < this->next_reopen || this->writer.is_busy())
        return;
    this->next_reopen = this->time.now() + reopen_interval;
    auto const state = std::make_shared<consensus::persistent_state>();
    this->writer.run(
        [this, state]
        {
            *state = this->log_store.load();
            // A full disk can still be read; only a successful write shows that it has space again.
            this->log_store.save(state->hard_state, {}, true);
        },
        [this, state](std::exception_ptr const& problem)
        {
            if (!this->stopped)
                this->handle_reopened(*state, problem);
        });
}

void consensus_driver::handle_reopened(consensus::persistent_state const& state,
                                       std::exception_ptr const& problem)
{
    if (auto const failure = storage_failure(problem))
        return this->events.emit(severity::warning, "storage.still_lost", {{"reason", *failure}});
    this->restore_control_state(state);
    this->node = consensus::node(make_node_options(this->options, this->node.self()), state,
                                 this->random, this->time.now());
    this->usable = true;
    this->bytes_since_snapshot = 0;
    this->events.emit(severity::info, "storage.regained",
                      {{"last_index", std::to_string(this->node.last_index().value())}});
}

void consensus_driver::start()
{
    this->schedule_tick();
    this->schedule_flush();
}

void consensus_driver::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->sender.stop();
    this->fail_pending();
}

void consensus_driver::set_voter_source(std::function<std::vector<network_address>()> source)
{
    this->voter_source = std::move(source);
}

void consensus_driver::set_applied_handler(std::function<void()> handler)
{
    this->on_applied = std::move(handler);
}

network_address consensus_driver::leader_address() const
{
    auto const leader = this->node.leader();
    if (!leader || !this->usable)
        return {};
    if (*leader == this->node.self())
        return this->options.control;
    auto const& members = this->node.membership();
    auto const voter = members.voters.find(*leader);
    return voter == members.voters.end() ? network_address() : voter->second;
}

std::vector<network_address> consensus_driver::voter_addresses() const
{
    std::vector<network_address> voters;
    for (auto const& [id, address] : this->membership().voters)
        voters.push_back(address);
    return voters;
}

vm_id consensus_driver::leader_vm() const
{
    auto const leader = this->node.leader();
    return leader ? consensus::vm_of(*leader) : vm_id();
}

void consensus_driver::schedule_tick()
{
    this->timer.expires_after(this->options.election_timeout / heartbeats_per_election_timeout /
                              ticks_per_heartbeat);
    this->timer.async_wait(
        [this](asio::error_code const& problem)
        {
            if (problem || this->stopped)
                return;
            this->tick();
            this->schedule_tick();
        });
}

void consensus_driver::record_confirmation()
{
    auto const commit_confirmed_at = this->node.commit_confirmed_at();
    if (commit_confirmed_at && this->has_applied_commits())
        this->confirmed_at = std::max(this->confirmed_at, *commit_confirmed_at);
}

void consensus_driver::tick()
{
    if (!this->usable)
        this->reopen();
    if (!this->usable)
        return;
    this->node.tick(this->time.now());
    this->flush();
    if (!this->usable)
        return;
    this->expire_pending();
    this->report_role();
    this->propose_expiry();
    this->advance_membership();
    bool const is_voter = this->node.membership().voters.contains(this->node.self());
    // A voter that was removed during a network partition does not know of its removal.
    if ((!is_voter || this->lacks_leader()) && this->time.now() >= this->next_join)
        this->request_join();
}

void consensus_driver::schedule_flush()
{
    // Proposals made in one iteration of the event loop share one disk sync.
    if (this->flush_scheduled)
        return;
    this->flush_scheduled = true;
    asio::post(*this->context,
               [this]
               {
                   this->flush_scheduled = false;
                   this->flush();
               });
}

void consensus_driver::flush()
{
    this->handle_progress(this->process_ready());
}

void consensus_driver::handle_progress(bool has_changed)
{
    this->record_confirmation();
    if (has_changed)
    {
        this->compact_if_due();
        if (this->on_applied)
            this->on_applied();
    }
    this->serve_reads();
}

bool consensus_driver::process_ready()
{
    bool has_changed = false;
    try
    {
        while (!this->stopped && this->usable && !this->writer.is_busy() && this->node.has_ready())
            has_changed = this->process(this->node.take_ready()) || has_changed;
    }
    catch (storage::storage_error const& problem)
    {
        this->suspend(problem.what());
    }
    if (this->usable && this->writer.is_busy() && this->applies_during_write)
        has_changed = this->apply(this->node.take_committed()) || has_changed;
    return has_changed;
}

bool consensus_driver::process(consensus::ready work)
{
    // With several voters, an entry is committed once a quorum has stored it, whether or not this
    // node has. The only voter may still have to store it.
    bool const applies_first = !work.restore && this->node.membership().voters.size() > 1;
    bool has_changed = false;
    if (applies_first)
        has_changed = this->apply(std::exchange(work.committed, {}));
    this->record_reads(work);
    if (work.must_sync)
    {
        this->applies_during_write = applies_first;
        this->write(std::make_shared<consensus::ready const>(std::move(work)));
        return has_changed;
    }
    this->log_store.save(work);
    return this->finish(work) || has_changed;
}

void consensus_driver::write(std::shared_ptr<consensus::ready const> const& work)
{
    this->writer.run([this, work] { this->log_store.save(*work); },
                     [this, work](std::exception_ptr const& problem)
                     {
                         if (!this->stopped)
                             this->handle_written(*work, problem);
                     });
}

void consensus_driver::handle_written(consensus::ready const& work,
                                      std::exception_ptr const& problem)
{
    if (auto const failure = storage_failure(problem))
        return this->suspend(*failure);
    bool const has_changed = this->finish(work);
    this->handle_progress(this->process_ready() || has_changed);
}

bool consensus_driver::finish(consensus::ready const& work)
{
    for (auto const& message : work.messages)
        this->send(message);
    if (work.restore)
        this->restore(*work.restore);
    bool const has_applied = this->apply(work.committed);
    return work.restore || has_applied;
}

void consensus_driver::record_reads(consensus::ready const& work)
{
    for (auto const& confirmed_read : work.reads)
    {
        auto const pending = this->reads.find(confirmed_read.context);
        if (pending != this->reads.end())
            pending->second.index = confirmed_read.index.value();
    }
    for (auto const read_id : work.failed_reads)
        this->fail_read(read_id);
}

void consensus_driver::send(consensus::message const& message)
{
    auto const& members = this->node.membership();
    for (auto const* address_map :
         {&members.voters, &members.learners, &std::as_const(this->addresses)})
    {
        auto const address = address_map->find(message.to);
        if (address != address_map->end())
            return this->sender.send(address->second, message);
    }
}

void consensus_driver::restore(consensus::snapshot const& state)
{
    // The initial snapshot of a new group holds no state.
    if (!state.data.empty())
        this->control_state.restore(state.data);
    this->applied_index = state.index.value();
    auto const end = this->proposals.upper_bound(this->applied_index);
    std::vector<proposal_handler> unresolved_handlers;
    for (auto pending = this->proposals.begin(); pending != end; ++pending)
        unresolved_handlers.push_back(std::move(pending->second.done));
    this->proposals.erase(this->proposals.begin(), end);
    for (auto const& done : unresolved_handlers)
        done({proposal_status::unknown, {}});
    this->events.emit(severity::info, "consensus.snapshot_restored",
                      {{"index", std::to_string(this->applied_index)}});
}

bool consensus_driver::apply(std::vector<consensus::log_entry> const& entries)
{
    for (auto const& entry : entries)
        this->apply(entry);
    return !entries.empty();
}

void consensus_driver::apply(consensus::log_entry const& entry)
{
    version::command_result result;
    if (entry.kind == consensus::entry_kind::command)
        result =
            this->control_state.apply(entry.index.value(), version::decode_command(entry.data));
    this->bytes_since_snapshot += entry.data.size();
    this->applied_index = entry.index.value();
    this->resolve_proposal(entry, result);
}

void consensus_driver::step(std::string const& from, std::string const& from_address,
                            std::vector<std::string> const& messages)
{
    if (!this->usable)
        return;
    if (!from.empty() && !from_address.empty())
        this->addresses[consensus::voter_id(from)] = network_address(from_address);
    for (auto const& bytes : messages)
    {
        try
        {
            this->node.step(this->time.now(), consensus::decode_message(bytes));
        }
        catch (consensus::consensus_error const& problem)
        {
            this->events.emit(severity::warning, "consensus.message_dropped",
                              {{"from", from}, {"reason", problem.what()}});
        }
    }
    this->schedule_flush();
}

void consensus_driver::compact_if_due()
{
    bool const has_many_entries = this->applied_index >= this->node.snapshot_index().value() +
                                                             this->options.snapshot_after_entries;
    bool const has_many_bytes = this->bytes_since_snapshot >= this->options.snapshot_after_bytes;
    if (!has_many_entries && !has_many_bytes)
        return;
    this->bytes_since_snapshot = 0;
    this->node.compact(consensus::log_index(this->applied_index), this->control_state.snapshot());
    this->schedule_flush();
    this->events.emit(severity::info, "consensus.snapshot_stored",
                      {{"index", std::to_string(this->applied_index)}});
}

void consensus_driver::report_role()
{
    auto const role = this->node.role();
    if (role == this->last_role)
        return;
    this->last_role = role;
    this->events.emit(severity::info, "consensus.role_changed",
                      {{"role", to_string(role)}, {"term", std::to_string(this->term())}});
}

void consensus_driver::propose_expiry()
{
    auto const now = this->time.now();
    if (!this->is_leader() || now < this->next_expiry)
        return;
    this->next_expiry = now + expiry_interval;
    if (this->control_state.once_records().size() > 0)
        this->propose(version::expire_records{}, now + expiry_interval, [](auto const&) {});
}

} // namespace lagoonladder::control
