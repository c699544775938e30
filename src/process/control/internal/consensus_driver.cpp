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

consensus::membership_policy_options make_policy_options(config::settings const& config)
{
    consensus::membership_policy_options options;
    options.tolerated_disk_losses = config.tolerated_disk_losses;
    return options;
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
    , change_policy(liveness, make_policy_options(config))
    , log_worker(io, sinks)
{
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
