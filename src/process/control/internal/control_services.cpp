#include "control_services.hpp"

#include <algorithm>
#include <future>

#include <lagoonladder/control/cluster_token.hpp>

namespace lagoonladder::control
{

namespace
{

grpc::Status missing_log()
{
    return {grpc::StatusCode::FAILED_PRECONDITION, "this daemon has no consensus log"};
}

grpc::Status control_thread_timeout()
{
    return {grpc::StatusCode::DEADLINE_EXCEEDED, "the control thread did not respond in time"};
}

/// State of a voter that daemons without a log read.
struct node_state
{
    std::shared_ptr<version::shared_state const> shared;
    network_address leader;
    std::uint64_t term = 0;
    bool is_recent = false;
};

/// Runs `action` on the control thread and waits for its result. `action` receives a callback
/// for the result and may call it later. Returns no value on a timeout.
template <class Result>
std::optional<Result>
run_on_control_thread(control_thread& control, duration timeout,
                      std::function<void(std::function<void(Result)>)> const& action)
{
    auto const promise = std::make_shared<std::promise<Result>>();
    auto future = promise->get_future();
    control.post([promise, action]
                 { action([promise](Result value) { promise->set_value(std::move(value)); }); });
    if (future.wait_for(timeout) != std::future_status::ready)
        return std::nullopt;
    return future.get();
}

} // namespace

consensus_service::consensus_service(control_thread& loop, config::settings const& config)
    : control(loop)
    , options(config)
{
}

grpc::Status consensus_service::Step(grpc::ServerContext* context,
                                     protocol::StepRequest const* request, protocol::StepReply*)
{
    if (!has_cluster_token(*context, this->options.cluster_token))
        return missing_cluster_token();
    if (!this->control.node())
        return missing_log();
    std::vector<std::string> messages(request->messages().begin(), request->messages().end());
    this->control.post([this, from = request->from(), address = request->from_address(),
                        messages = std::move(messages)]
                       { this->control.node()->step(from, address, messages); });
    return grpc::Status::OK;
}

grpc::Status consensus_service::Identify(grpc::ServerContext* context,
                                         protocol::IdentifyRequest const*,
                                         protocol::IdentifyReply* reply)
{
    if (!has_cluster_token(*context, this->options.cluster_token))
        return missing_cluster_token();
    if (!this->control.node())
        return missing_log();
    auto const has_state = run_on_control_thread<bool>(this->control, remaining_time(*context),
                                                       [this](auto const& done)
                                                       { done(this->control.node()->has_log()); });
    if (!has_state)
        return control_thread_timeout();
    reply->set_vm(this->options.vm.value());
    reply->set_voter(this->control.node()->self().value());
    reply->set_has_state(*has_state);
    return grpc::Status::OK;
}

grpc::Status consensus_service::Join(grpc::ServerContext* context,
                                     protocol::JoinRequest const* request,
                                     protocol::JoinReply* reply)
{
    if (!has_cluster_token(*context, this->options.cluster_token))
        return missing_cluster_token();
    if (!this->control.node())
        return missing_log();
    auto const result = run_on_control_thread<consensus_driver::join_result>(
        this->control, remaining_time(*context),
        [this, voter = consensus::voter_id(request->voter()),
         address = network_address(request->address())](auto const& done)
        { done(this->control.node()->join(voter, address)); });
    if (!result)
        return control_thread_timeout();
    reply->set_accepted(result->accepted);
    reply->set_leader(result->leader);
    reply->set_detail(result->detail);
    return grpc::Status::OK;
}

control_service::control_service(control_thread& loop, config::settings const& config,
                                 clock const& time_source)
    : control(loop)
    , options(config)
    , time(time_source)
{
}

grpc::Status control_service::Propose(grpc::ServerContext* context,
                                      protocol::ProposeRequest const* request,
                                      protocol::ProposeReply* reply)
{
    if (!has_cluster_token(*context, this->options.cluster_token))
        return missing_cluster_token();
    if (!this->control.node())
        return missing_log();
    version::command command;
    try
    {
        command = version::decode_command(request->command());
    }
    catch (parse_error const& problem)
    {
        return {grpc::StatusCode::INVALID_ARGUMENT, problem.what()};
    }
    auto const timeout = remaining_time(*context);
    auto const outcome = run_on_control_thread<proposal_outcome>(
        this->control, timeout,
        [this, command, timeout](auto const& done)
        { this->control.node()->propose(command.body, this->time.now() + timeout, done); });
    // A proposal that reached the control thread may still be committed after the timeout.
    reply->set_status(protocol::ProposeReply::UNKNOWN);
    if (outcome && outcome->status == proposal_status::committed)
    {
        reply->set_status(protocol::ProposeReply::COMMITTED);
        reply->set_result(version::encode(outcome->result));
    }
    if (outcome && outcome->status == proposal_status::not_proposed)
        reply->set_status(protocol::ProposeReply::NOT_PROPOSED);
    reply->set_leader(this->control.view()->leader);
    return grpc::Status::OK;
}

grpc::Status control_service::ReadState(grpc::ServerContext* context,
                                        protocol::ReadStateRequest const* request,
                                        protocol::ReadStateReply* reply)
{
    if (!has_cluster_token(*context, this->options.cluster_token))
        return missing_cluster_token();
    if (!this->control.node())
        return missing_log();
    if (request->through_quorum())
    {
        auto const timeout = remaining_time(*context);
        auto const confirmed = run_on_control_thread<bool>(
            this->control, timeout,
            [this, timeout](auto const& done)
            { this->control.node()->read(this->time.now() + timeout, done); });
        if (!confirmed || !*confirmed)
            return grpc::Status::OK;
    }
    auto const state =
        run_on_control_thread<node_state>(this->control, remaining_time(*context),
                                          [this](auto const& done)
                                          {
                                              auto const& node = *this->control.node();
                                              done({node.state().shared(), node.leader_address(),
                                                    node.term(), node.has_recent_state()});
                                          });
    if (!state)
        return control_thread_timeout();
    reply->set_leader(state->leader.value());
    reply->set_term(state->term);
    reply->set_quorum_recent(state->is_recent);
    // A restarted voter must not serve a state older than what it served before the restart.
    reply->set_available(request->through_quorum() || this->control.view()->ready);
    reply->set_applied_index(state->shared->applied_index);
    if (reply->available() && state->shared->changed_index > request->known_index())
        reply->set_status(version::encode(version::status_of(*state->shared)));
    return grpc::Status::OK;
}

grpc::Status control_service::ReadContent(grpc::ServerContext* context,
                                          protocol::ReadContentRequest const* request,
                                          protocol::ReadContentReply* reply)
{
    if (!has_cluster_token(*context, this->options.cluster_token))
        return missing_cluster_token();
    auto const content = this->control.contents().find(version::content_digest(request->digest()));
    bool const is_held = content && request->offset() < content->size();
    this->control.metrics().add("content_parts_served_total",
                                {{"outcome", is_held ? "sent" : "not_held"}});
    if (!is_held)
        return grpc::Status::OK;
    reply->set_found(true);
    reply->set_total(content->size());
    reply->set_part(content->bytes->substr(request->offset(), version::max_content_part_bytes));
    this->control.metrics().add("content_served_bytes_total", {},
                                static_cast<double>(reply->part().size()));
    return grpc::Status::OK;
}

grpc::Status control_service::FindOnce(grpc::ServerContext* context,
                                       protocol::FindOnceRequest const* request,
                                       protocol::FindOnceReply* reply)
{
    if (!has_cluster_token(*context, this->options.cluster_token))
        return missing_cluster_token();
    if (!this->control.node())
        return missing_log();
    lagoonladder::request::at_most_once_key key;
    try
    {
        nlohmann::json::from_msgpack(request->key()).get_to(key);
    }
    catch (nlohmann::json::exception const& problem)
    {
        return {grpc::StatusCode::INVALID_ARGUMENT, problem.what()};
    }
    auto const timeout = remaining_time(*context);
    using find_result = std::pair<find_status, std::optional<request::at_most_once_reply>>;
    auto const found = run_on_control_thread<find_result>(
        this->control, timeout,
        [this, key, timeout](auto const& done)
        {
            this->control.consensus_group().find_once(
                key, this->time.now() + timeout,
                [done](find_status status, std::optional<request::at_most_once_reply> const& record)
                { done(find_result(status, record)); });
        });
    reply->set_status(protocol::FindOnceReply::UNAVAILABLE);
    if (found && found->first == find_status::not_found)
        reply->set_status(protocol::FindOnceReply::NOT_FOUND);
    if (found && found->first == find_status::found)
    {
        reply->set_status(protocol::FindOnceReply::FOUND);
        nlohmann::json::to_msgpack(nlohmann::json(*found->second), *reply->mutable_reply());
    }
    return grpc::Status::OK;
}

grpc::Status control_service::Report(grpc::ServerContext* context,
                                     protocol::ReportRequest const* request,
                                     protocol::ReportReply* reply)
{
    if (!has_cluster_token(*context, this->options.cluster_token))
        return missing_cluster_token();
    try
    {
        auto const samples = nlohmann::json::from_msgpack(request->samples())
                                 .get<std::vector<version::traffic_sample>>();
        std::optional<version::usage_report> usage;
        if (!request->usage().empty())
            usage = version::decode_usage_report(request->usage());
        this->control.post(
            [this, samples, usage]
            {
                this->control.moves().collect(samples);
                if (usage)
                    this->control.duties().collect(*usage);
            });
        reply->set_accepted(true);
        return grpc::Status::OK;
    }
    catch (parse_error const& problem)
    {
        return {grpc::StatusCode::INVALID_ARGUMENT, problem.what()};
    }
    catch (nlohmann::json::exception const& problem)
    {
        return {grpc::StatusCode::INVALID_ARGUMENT, problem.what()};
    }
}

directory_service::directory_service(control_thread& loop, config::settings const& config)
    : control(loop)
    , options(config)
{
}

grpc::Status directory_service::Exchange(grpc::ServerContext* context,
                                         protocol::Digest const* request, protocol::Digest* reply)
{
    if (!has_cluster_token(*context, this->options.cluster_token))
        return missing_cluster_token();
    auto digest =
        run_on_control_thread<protocol::Digest>(this->control, remaining_time(*context),
                                                [this, received = *request](auto const& done) {
                                                    done(this->control.gossip().exchange(received));
                                                });
    if (!digest)
        return control_thread_timeout();
    *reply = std::move(*digest);
    return grpc::Status::OK;
}

events_service::events_service(observability::event_timeline& log, config::settings const& config)
    : events(log)
    , options(config)
{
}

grpc::Status events_service::List(grpc::ServerContext* context,
                                  protocol::ListEventsRequest const* request,
                                  protocol::ListEventsReply* reply)
{
    if (!has_cluster_token(*context, this->options.cluster_token))
        return missing_cluster_token();
    hybrid_timestamp const since{wall_time(duration(request->since().wall_us())),
                                 request->since().counter()};
    for (auto const& listed : this->events.list(since, request->limit()))
    {
        auto& record = *reply->add_events();
        record.mutable_when()->set_wall_us(listed.when.wall.time_since_epoch().count());
        record.mutable_when()->set_counter(listed.when.counter);
        record.set_vm(listed.vm.value());
        record.set_level(observability::to_string(listed.level));
        record.set_name(listed.name);
        for (auto const& field : listed.fields)
        {
            auto& copy = *record.add_fields();
            copy.set_key(field.key);
            copy.set_value(field.value);
        }
    }
    return grpc::Status::OK;
}

} // namespace lagoonladder::control
