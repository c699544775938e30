#include "leader_client.hpp"

#include <algorithm>

#include <control.grpc.pb.h>

namespace lagoonladder::control
{

namespace
{

constexpr duration retry_delay = milliseconds(30);
/// A voter that does not reply must leave time to try another one.
constexpr duration max_call_timeout = milliseconds(1500);
constexpr duration report_timeout = seconds(1);

std::string pack(nlohmann::json const& value)
{
    std::string bytes;
    nlohmann::json::to_msgpack(value, bytes);
    return bytes;
}

char const* outcome_name(proposal_status status)
{
    switch (status)
    {
    case proposal_status::committed:
        return "committed";
    case proposal_status::not_proposed:
        return "not_proposed";
    case proposal_status::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

struct leader_client::pending_command
{
    version::command_body body;
    time_point started;
    time_point deadline;
    proposal_handler done;
    /// An earlier attempt may have been appended to the log.
    bool may_be_proposed = false;
};

leader_client::leader_client(std::shared_ptr<asio::io_context> io, config::settings const& config,
                             peer_channels& channels, gossip_driver const& directories,
                             telemetry const& sinks, consensus_driver* own_node)
    : context(std::move(io))
    , options(config)
    , peers(channels)
    , gossip(directories)
    , events(sinks.events)
    , metrics(sinks.metrics)
    , time(sinks.time)
    , node(own_node)
{
}

network_address leader_client::leader() const
{
    bool const has_log = this->node != nullptr && this->node->is_usable();
    return has_log ? this->node->leader_address() : this->leader_hint;
}

std::vector<network_address> leader_client::voters() const
{
    std::vector<network_address> addresses;
    for (auto const& entry : this->gossip.entries().live(this->time.now()))
    {
        if (entry.has_disk && entry.control != this->options.control)
            addresses.push_back(entry.control);
    }
    if (addresses.empty())
        addresses = this->gossip.seed_addresses();
    return addresses;
}

network_address leader_client::next_target()
{
    auto const leader_address = this->leader();
    if (!leader_address.value().empty())
        return leader_address;
    auto const candidates = this->voters();
    if (candidates.empty())
        return {};
    return candidates[this->next_voter++ % candidates.size()];
}

void leader_client::retry_later(std::function<void()> action)
{
    auto const timer = std::make_shared<asio::steady_timer>(*this->context, retry_delay);
    timer->async_wait(
        [this, timer, action](asio::error_code const& problem)
        {
            if (!problem && !this->stopped)
                action();
        });
}

template <class Decode>
auto leader_client::try_decode(char const* reply_kind, Decode decode) const
    -> std::optional<std::invoke_result_t<Decode>>
{
    try
    {
        return decode();
    }
    catch (std::exception const& problem)
    {
        this->events.emit(severity::error, "reply.unreadable",
                          {{"reply", reply_kind}, {"reason", problem.what()}});
        return std::nullopt;
    }
}

void leader_client::propose(version::command_body const& body, time_point deadline,
                            proposal_handler done)
{
    this->try_propose(std::make_shared<pending_command>(
        pending_command{body, this->time.now(), deadline, std::move(done)}));
}

void leader_client::try_propose(std::shared_ptr<pending_command> const& command)
{
    auto const now = this->time.now();
    if (now >= command->deadline)
    {
        auto const status =
            command->may_be_proposed ? proposal_status::unknown : proposal_status::not_proposed;
        return this->finish_command(*command, {status, {}});
    }
    if (this->node && this->node->is_leader())
        return this->node->propose(command->body, command->deadline,
                                   [this, command](proposal_outcome const& outcome)
                                   { this->finish_attempt(command, outcome); });
    auto const target = this->next_target();
    if (target.value().empty() || target == this->options.control)
        return this->retry_later([this, command] { this->try_propose(command); });
    this->propose_remotely(command, target);
}

void leader_client::propose_remotely(std::shared_ptr<pending_command> const& command,
                                     network_address const& target)
{
    protocol::ProposeRequest request;
    request.set_command(version::encode(version::command{{}, command->body}));
    std::shared_ptr stub = protocol::Control::NewStub(this->peers.channel(target));
    auto const timeout = std::min(max_call_timeout, command->deadline - this->time.now());
    call_async<protocol::ProposeReply>(
        this->context, this->peers, timeout, request,
        [stub](auto* call, auto const* sent, auto* reply, auto done)
        { stub->async()->Propose(call, sent, reply, std::move(done)); },
        [this, stub, command](grpc::Status const& status, protocol::ProposeReply& reply)
        {
            if (this->stopped)
                return;
            proposal_outcome outcome;
            if (!status.ok())
            {
                this->leader_hint = {};
                // A refused connection has sent nothing, but gRPC reports the same status code for
                // a connection that broke after the call was sent.
                outcome.status = proposal_status::unknown;
            }
            else if (reply.status() == protocol::ProposeReply::COMMITTED)
            {
                auto const result = this->try_decode(
                    "proposal", [&] { return version::decode_command_result(reply.result()); });
                outcome.status = result ? proposal_status::committed : proposal_status::unknown;
                if (result)
                    outcome.result = *result;
            }
            else
            {
                this->leader_hint = network_address(reply.leader());
                outcome.status = reply.status() == protocol::ProposeReply::NOT_PROPOSED
                                     ? proposal_status::not_proposed
                                     : proposal_status::unknown;
            }
            this->finish_attempt(command, outcome);
        });
}

void leader_client::finish_attempt(std::shared_ptr<pending_command> const& command,
                                   proposal_outcome const& outcome)
{
    if (outcome.status == proposal_status::committed)
        return this->finish_command(*command, outcome);
    if (outcome.status == proposal_status::unknown)
        command->may_be_proposed = true;
    if (this->stopped)
        return command->done({proposal_status::unknown, {}});
    this->retry_later([this, command] { this->try_propose(command); });
}

void leader_client::finish_command(pending_command const& command, proposal_outcome const& outcome)
{
    auto const* const name = outcome_name(outcome.status);
    this->metrics.observe_seconds("command_seconds", {{"outcome", name}},
                                  to_seconds(this->time.now() - command.started));
    if (outcome.status != proposal_status::committed)
        this->metrics.add("commands_given_up_total", {{"outcome", name}});
    command.done(outcome);
}

void leader_client::find_once(request::at_most_once_key const& key, time_point deadline,
                              find_handler done)
{
    this->try_find(key, deadline, done);
}

void leader_client::try_find(request::at_most_once_key const& key, time_point deadline,
                             find_handler const& done)
{
    auto const now = this->time.now();
    if (now >= deadline)
        return done(find_status::unavailable, {});
    auto const retry = [this, key, deadline, done]
    { this->retry_later([this, key, deadline, done] { this->try_find(key, deadline, done); }); };
    if (this->node != nullptr && this->node->is_usable())
        return this->node->read(deadline,
                                [this, key, done, retry](bool confirmed)
                                {
                                    if (!confirmed)
                                        return retry();
                                    auto const found = this->node->state().once_records().find(key);
                                    done(found ? find_status::found : find_status::not_found,
                                         found);
                                });
    auto const target = this->next_target();
    if (target.value().empty())
        return retry();
    protocol::FindOnceRequest request;
    request.set_key(pack(nlohmann::json(key)));
    std::shared_ptr stub = protocol::Control::NewStub(this->peers.channel(target));
    call_async<protocol::FindOnceReply>(
        this->context, this->peers, std::min(max_call_timeout, deadline - now), request,
        [stub](auto* call, auto const* sent, auto* reply, auto finished)
        { stub->async()->FindOnce(call, sent, reply, std::move(finished)); },
        [this, stub, done, retry](grpc::Status const& status, protocol::FindOnceReply& reply)
        {
            if (this->stopped)
                return;
            if (!status.ok() || reply.status() == protocol::FindOnceReply::UNAVAILABLE)
            {
                this->leader_hint = {};
                return retry();
            }
            if (reply.status() == protocol::FindOnceReply::NOT_FOUND)
                return done(find_status::not_found, {});
            auto const record =
                this->try_decode("lookup",
                                 [&]
                                 {
                                     return nlohmann::json::from_msgpack(reply.reply())
                                         .template get<request::at_most_once_reply>();
                                 });
            if (!record)
                return retry();
            done(find_status::found, *record);
        });
}

void leader_client::report(std::vector<version::traffic_sample> const& samples,
                           version::usage_report const& usage)
{
    auto const target = this->leader();
    if (target.value().empty())
        return;
    protocol::ReportRequest request;
    request.set_vm(this->options.vm.value());
    request.set_samples(pack(nlohmann::json(samples)));
    if (!usage.windows.empty())
        request.set_usage(version::encode(usage));
    std::shared_ptr stub = protocol::Control::NewStub(this->peers.channel(target));
    call_async<protocol::ReportReply>(
        this->context, this->peers, report_timeout, request,
        [stub](auto* call, auto const* sent, auto* reply, auto done)
        { stub->async()->Report(call, sent, reply, std::move(done)); },
        [stub](grpc::Status const&, protocol::ReportReply&) {});
}

} // namespace lagoonladder::control
