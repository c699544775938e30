#include "state_follower.hpp"

#include <algorithm>
#include <utility>

#include <control.grpc.pb.h>

namespace lagoonladder::control
{

namespace
{

constexpr duration read_timeout = milliseconds(800);
/// A voter or this daemon may be out of processor time for a while. A late reply is used too, since
/// a repeated poll would be as late.
constexpr duration poll_timeout = milliseconds(1'500);
/// Polls of this daemon that wait for replies at the same time; a voter that does not reply must
/// not delay the poll of the next one.
constexpr std::size_t max_polls_in_flight = 4;
constexpr duration start_poll_interval = milliseconds(50);
/// Time after the last contact in which the quorum counts as recent. It covers several polls, so
/// that one slow voter does not make the quorum look lost.
constexpr duration recent_quorum_window = seconds(3);
/// Time after the last confirmation in which the configuration counts as current. A change is in
/// force within a few seconds; after several failed polls it may have been missed.
constexpr duration max_configuration_age = seconds(1);
/// Limit of announced changes whose time until they are in force is measured.
constexpr std::size_t max_announced_changes = 16;

} // namespace

state_follower::state_follower(std::shared_ptr<asio::io_context> io, config::settings const& config,
                               peer_channels& channels, leader_client& client,
                               content_fetcher& fetcher, content_cache& local_contents,
                               telemetry const& sinks, consensus_driver* own_node)
    : context(io)
    , options(config)
    , peers(channels)
    , consensus_group(client)
    , content_source(fetcher)
    , cache(local_contents)
    , events(sinks.events)
    , metrics(sinks.metrics)
    , time(sinks.time)
    , node(own_node)
    , timer(*io)
{
}

void state_follower::start()
{
    this->poll();
    this->schedule_poll();
}

void state_follower::stop()
{
    this->stopped = true;
    this->timer.cancel();
}

void state_follower::set_change_handler(std::function<void()> handler)
{
    this->on_change = std::move(handler);
}

bool state_follower::has_recent_quorum() const
{
    if (this->node && this->node->is_usable())
        return this->node->has_recent_quorum();
    return this->ready && this->time.now() < this->last_quorum_contact + recent_quorum_window;
}

time_point state_follower::state_confirmed_at() const
{
    if (!this->node || !this->node->is_usable())
        return this->last_quorum_contact;
    return std::max(this->node->state_confirmed_at(), this->last_quorum_contact);
}

bool state_follower::needs_other_voter() const
{
    if (!this->node || !this->node->is_usable())
        return true;
    // The own node may have been removed, or be cut off from its leader, without knowing of it.
    return this->ready &&
           this->time.now() >= this->node->state_confirmed_at() + max_configuration_age;
}

time_point state_follower::configuration_expiry() const
{
    if (this->awaits_content())
        return time_point();
    return this->state_confirmed_at() + max_configuration_age;
}

void state_follower::schedule_poll()
{
    // Polls faster during the start, since callers wait for the daemon to become ready.
    auto const interval = this->ready ? this->options.state_poll_interval : start_poll_interval;
    this->timer.expires_after(std::min(interval, this->options.state_poll_interval));
    this->timer.async_wait(
        [this](asio::error_code const& problem)
        {
            if (problem || this->stopped)
                return;
            this->poll();
            this->schedule_poll();
            // Renews the expiry of the published configuration.
            if (this->on_change)
                this->on_change();
        });
}

void state_follower::poll()
{
    bool const has_own_state = this->node && this->node->is_usable();
    if (has_own_state)
        this->latest_term = this->node->term();
    bool const asks_other_voter = this->needs_other_voter();
    auto const max_polls = this->ready && asks_other_voter ? max_polls_in_flight : 1;
    if (this->polls_in_flight >= max_polls)
        return;
    if (asks_other_voter)
        this->poll_voter();
    else if (!this->ready)
        this->confirm_own_state();
}

void state_follower::confirm_own_state()
{
    ++this->polls_in_flight;
    this->node->read(this->time.now() + read_timeout,
                     [this, started = this->time.now()](bool confirmed)
                     {
                         --this->polls_in_flight;
                         if (!confirmed || this->stopped)
                             return;
                         this->last_quorum_contact = started;
                         this->refresh_from_node();
                         this->become_ready();
                     });
}

void state_follower::poll_voter()
{
    auto const voters = this->consensus_group.voters();
    if (voters.empty())
        return;
    auto const& target = voters[this->next_voter++ % voters.size()];
    protocol::ReadStateRequest request;
    request.set_known_index(this->current_state->changed_index);
    request.set_through_quorum(!this->ready);
    ++this->polls_in_flight;
    std::shared_ptr stub = protocol::Control::NewStub(this->peers.channel(target));
    call_async<protocol::ReadStateReply>(
        this->context, this->peers, this->ready ? poll_timeout : read_timeout, request,
        [stub](auto* call, auto const* sent, auto* reply, auto done)
        { stub->async()->ReadState(call, sent, reply, std::move(done)); },
        [this, stub, target, sent_at = this->time.now(), through_quorum = request.through_quorum()](
            grpc::Status const& status, protocol::ReadStateReply& reply)
        {
            --this->polls_in_flight;
            if (this->stopped)
                return;
            if (!status.ok() || !reply.available())
                return this->record_failed_poll(target, status);
            this->record_contact(sent_at, through_quorum || reply.quorum_recent(), reply);
            this->handle_reply(target, reply);
        });
}

void state_follower::count_poll(char const* outcome)
{
    this->metrics.add("state_polls_total", {{"outcome", outcome}});
}

void state_follower::record_failed_poll(network_address const& voter, grpc::Status const& status)
{
    bool const is_timeout = status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
    this->count_poll(is_timeout ? "timed_out" : "unavailable");
    auto const now = this->time.now();
    if (!this->failed_poll_log_limit.admit(now))
        return;
    auto const age = this->last_successful_poll
                         ? milliseconds_text(now - *this->last_successful_poll)
                         : std::string("never");
    this->events.emit(
        severity::warning, "state.poll_failed",
        {{"voter", voter.value()},
         {"reason", status.ok() ? "the voter has not confirmed its state" : status.error_message()},
         {"last_good_age_ms", age},
         {"index", std::to_string(this->current_state->changed_index)}});
}

/// The reply confirms the state as of the poll, and replies may overtake each other.
void state_follower::record_contact(time_point sent_at, bool is_confirmed,
                                    protocol::ReadStateReply const& reply)
{
    if (!is_confirmed || sent_at < this->last_quorum_contact)
        return;
    this->last_quorum_contact = sent_at;
    this->consensus_group.set_leader_hint(network_address(reply.leader()));
}

void state_follower::handle_reply(network_address const& voter,
                                  protocol::ReadStateReply const& reply)
{
    this->latest_term = std::max(this->latest_term, reply.term());
    try
    {
        if (!reply.status().empty())
            this->handle_status(voter, version::decode_shared_status(reply.status()));
        // While this daemon is not ready, each poll is confirmed by a quorum.
        if (!this->ready && !this->pending_status)
            this->become_ready();
        this->last_successful_poll = this->time.now();
        this->count_poll(reply.status().empty() ? "unchanged" : "fresh");
    }
    catch (error const& problem)
    {
        this->count_poll("unreadable");
        this->events.emit(severity::error, "state.unreadable", {{"reason", problem.what()}});
    }
}

void state_follower::handle_status(network_address const& voter,
                                   version::shared_status const& status)
{
    if (status.applied_index < this->current_state->applied_index)
        return;
    if (version::missing_contents(status, *this->current_state).empty())
        return this->adopt(std::make_shared<version::shared_state const>(
            version::make_shared_state(status, *this->current_state, {})));
    this->evacuations.record(status);
    this->adopt(this->current_state);
    if (this->pending_status && status.applied_index < this->pending_status->applied_index)
        return;
    bool const awaited_content = this->awaits_content();
    this->record_announced_change(status.changed_index);
    if (!awaited_content && this->on_change)
        this->on_change();
    bool const is_new = !this->pending_status ||
                        this->pending_status->service_content != status.service_content ||
                        this->pending_status->configuration_content != status.configuration_content;
    // A fetch in progress finishes first: restarting it with each newer configuration might never
    // finish while configurations change often.
    if (this->fetch_in_flight && is_new)
        return;
    this->pending_status = status;
    this->pending_source = voter;
    this->fetch_next();
}

void state_follower::record_announced_change(std::uint64_t index)
{
    if (index <= this->announced_index)
        return;
    this->announced_index = index;
    this->announced_changes.push_back({index, this->time.now()});
    if (this->announced_changes.size() > max_announced_changes)
        this->announced_changes.pop_front();
}

void state_follower::record_changes_in_force()
{
    auto const now = this->time.now();
    while (!this->announced_changes.empty() &&
           this->announced_changes.front().index <= this->current_state->changed_index)
    {
        this->metrics.observe_seconds("named_until_in_force_seconds", {},
                                      to_seconds(now - this->announced_changes.front().when));
        this->announced_changes.pop_front();
    }
}

void state_follower::fetch_next()
{
    if (this->fetch_in_flight)
        return;
    for (auto const& digest :
         version::missing_contents(*this->pending_status, *this->current_state))
    {
        bool const is_fetched =
            std::any_of(this->fetched_contents.begin(), this->fetched_contents.end(),
                        [&](auto const& content) { return content.digest == digest; });
        if (is_fetched)
            continue;
        this->fetch_in_flight = true;
        return this->content_source.fetch(
            digest, this->pending_source,
            [this](std::optional<version::packed_content> const& content)
            { this->handle_content(content); });
    }
    auto const status = *this->pending_status;
    auto const contents = std::exchange(this->fetched_contents, {});
    this->pending_status.reset();
    // The own log may have provided a newer state in the meantime.
    if (status.applied_index < this->current_state->applied_index)
        return;
    this->adopt(std::make_shared<version::shared_state const>(
        version::make_shared_state(status, *this->current_state, contents)));
    if (!this->ready)
        this->become_ready();
}

void state_follower::handle_content(std::optional<version::packed_content> const& content)
{
    this->fetch_in_flight = false;
    if (this->stopped)
        return;
    if (!content)
    {
        // The content was replaced in the meantime, or no voter replied: the next poll announces
        // what to fetch.
        this->pending_status.reset();
        this->fetched_contents.clear();
        return;
    }
    this->fetched_contents.push_back(*content);
    try
    {
        this->fetch_next();
    }
    catch (error const& problem)
    {
        this->events.emit(severity::error, "state.unreadable", {{"reason", problem.what()}});
    }
}

void state_follower::refresh_from_node()
{
    this->adopt(this->node->state().shared());
}

void state_follower::adopt(std::shared_ptr<version::shared_state const> candidate)
{
    candidate = this->evacuations.complete(std::move(candidate));
    if (candidate == this->current_state)
        return;
    // A voter that lags behind may reply with an older state.
    if (candidate->applied_index < this->current_state->applied_index)
        return;
    invariant(candidate->generation >= this->current_state->generation,
              "a newer state has an older configuration generation");
    auto const previous = std::exchange(this->current_state, std::move(candidate));
    this->cache.add(this->current_state->configuration_content);
    this->cache.add(this->current_state->service_content);
    this->record_changes_in_force();
    this->report_change(*previous);
    if (this->on_change)
        this->on_change();
}

void state_follower::report_change(version::shared_state const& previous)
{
    report_evacuations(previous, *this->current_state, this->events);
    if (previous.generation != this->current_state->generation)
        this->events.emit(
            severity::info, "configuration.in_force",
            {{"generation", std::to_string(this->current_state->generation.value())}});
    if (previous.services != this->current_state->services)
        this->events.emit(
            severity::info, "pass_through.in_force",
            {{"number", std::to_string(this->current_state->services->map().number)},
             {"routes", std::to_string(this->current_state->services->map().routes.size())},
             {"accounts", std::to_string(this->current_state->services->map().accounts.size())},
             {"requires_key", this->current_state->services->requires_key() ? "true" : "false"},
             {"packed_bytes", std::to_string(this->current_state->service_content.size())},
             {"index", std::to_string(this->current_state->changed_index)}});
}

void state_follower::become_ready()
{
    this->ready = true;
    this->events.emit(severity::info, "daemon.ready",
                      {{"generation", std::to_string(this->current_state->generation.value())}});
    if (this->on_change)
        this->on_change();
}

} // namespace lagoonladder::control
