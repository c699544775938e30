#include "operator_api.hpp"

#include <algorithm>
#include <charconv>
#include <future>

#include <control.grpc.pb.h>
#include <httplib.h>

#include "event_collector.hpp"
#include "traffic_problem.hpp"
#include "traffic_secret.hpp"

namespace lagoonladder::daemon
{

namespace
{

constexpr char const* json_type = "application/json";
constexpr duration apply_timeout = seconds(5);
constexpr std::size_t default_event_limit = 200;
constexpr std::size_t max_event_limit = 10'000;

void send_problem(httplib::Response& response, problem const& value)
{
    response.status = value.status;
    response.set_content(format_problem(value), "application/problem+json");
}

void send_json(httplib::Response& response, int status, nlohmann::json const& body)
{
    response.status = status;
    response.set_content(body.dump(), json_type);
}

problem bad_request(std::string detail)
{
    return {400, "bad-request", std::move(detail), execution::no, {}, seconds(1), {}};
}

std::uint64_t number_parameter(httplib::Request const& request, char const* name,
                               std::uint64_t fallback)
{
    if (!request.has_param(name))
        return fallback;
    auto const text = request.get_param_value(name);
    std::uint64_t value = 0;
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        throw refusal(bad_request("parameter \"" + std::string(name) + "\" is not a whole number"));
    return value;
}

version::apply_configuration parse_apply(std::string const& body)
{
    try
    {
        auto const in = nlohmann::json::parse(body);
        version::apply_configuration command;
        in.at("base").get_to(command.base);
        in.at("file").get_to(command.file);
        in.at("text").get_to(command.text);
        in.at("operation").get_to(command.operation);
        if (command.operation.value().empty())
            throw refusal(bad_request("field \"operation\" is empty"));
        return command;
    }
    catch (nlohmann::json::exception const& problem)
    {
        throw refusal(bad_request(problem.what()));
    }
}

nlohmann::json describe(version::apply_result const& result)
{
    using version::apply_outcome;
    nlohmann::json out;
    out["generation"] = result.generation;
    out["detail"] = result.detail;
    switch (result.outcome)
    {
    case apply_outcome::stored:
        out["outcome"] = "stored";
        break;
    case apply_outcome::repeated:
        out["outcome"] = "repeated";
        break;
    case apply_outcome::conflict:
        out["outcome"] = "conflict";
        out["winner_operation"] = result.winner_operation;
        out["winner_digest"] = result.winner_digest;
        break;
    case apply_outcome::invalid:
        out["outcome"] = "invalid";
        break;
    }
    return out;
}

char const* name_of(version::move_state state)
{
    using version::move_state;
    if (state == move_state::running)
        return "running";
    return state == move_state::finished ? "finished" : "reversed";
}

int status_of(version::apply_outcome outcome)
{
    if (outcome == version::apply_outcome::conflict)
        return 409;
    return outcome == version::apply_outcome::invalid ? 400 : 200;
}

} // namespace

operator_api::operator_api(settings const& config, control_plane& plane,
                           observability::event_timeline& log, peer_channels& channels)
    : options(config)
    , control(plane)
    , events(log)
    , peers(channels)
{
}

void operator_api::register_routes(httplib::Server& server)
{
    auto const guarded = [this](auto action)
    {
        return [this, action](httplib::Request const& request, httplib::Response& response)
        {
            if (!this->authorise(request, response))
                return;
            try
            {
                action(request, response);
            }
            catch (refusal const& refused)
            {
                send_problem(response, refused.details);
            }
        };
    };
    server.Get("/v1/operator/status",
               guarded([this](auto const&, auto& response) { this->status(response); }));
    server.Get("/v1/operator/moves",
               guarded([this](auto const&, auto& response) { this->moves(response); }));
    server.Get("/v1/operator/events", guarded([this](auto const& request, auto& response)
                                              { this->list_events(request, response); }));
    server.Get("/v1/operator/configuration", guarded([this](auto const&, auto& response)
                                                     { this->read_configuration(response); }));
    server.Put("/v1/operator/configuration",
               guarded([this](auto const& request, auto& response)
                       { this->apply_configuration(request, response); }));
    server.Post("/v1/operator/drain", guarded([this](auto const& request, auto& response)
                                              { this->drain(request, response); }));
}

bool operator_api::authorise(httplib::Request const& request, httplib::Response& response)
{
    auto const given = request.get_header_value("Authorization");
    if (secret_equals(given, "Bearer " + this->options.operator_token))
        return true;
    this->events.emit(severity::warning, "operator.refused",
                      {{"path", request.path},
                       {"remote", request.remote_addr},
                       {"reason", given.empty() ? "no token" : "wrong token"}});
    send_problem(response, {401,
                            "unauthorised",
                            "operator calls need \"Authorization: Bearer\" with the operator token",
                            execution::no,
                            {},
                            seconds(1),
                            {}});
    return false;
}

void operator_api::status(httplib::Response& response) const
{
    auto const view = this->control.view();
    nlohmann::json out;
    out["vm"] = this->options.vm;
    out["data_centre"] = this->options.data_centre;
    out["ready"] = view->ready;
    out["quorum_recent"] = view->quorum_recent;
    out["leaving"] = view->leaving;
    out["leader"] = view->leader;
    out["term"] = view->term;
    out["generation"] = view->shared ? view->shared->generation.value() : 0;
    out["applied_index"] = view->shared ? view->shared->applied_index : 0;
    out["entries"] = view->entries;
    out["endpoints"] = nlohmann::json::array();
    for (auto const& [service, rows] : view->endpoints)
    {
        for (auto const& row : rows)
            out["endpoints"].push_back(row);
    }
    out["voters"] = view->voters;
    out["warnings"] = nlohmann::json::array();
    if (!view->ready)
        out["warnings"].push_back("the control state was not yet read through a quorum");
    else if (!view->quorum_recent)
        out["warnings"].push_back(
            "no quorum was heard lately: this view may be old, and calls that "
            "need the quorum get the answer \"unknown\"");
    send_json(response, 200, out);
}

void operator_api::moves(httplib::Response& response) const
{
    auto const view = this->control.view();
    nlohmann::json out;
    out["moves"] = nlohmann::json::array();
    if (view->shared)
        for (auto const& move : view->shared->moves)
        {
            nlohmann::json row = move;
            row["state"] = name_of(move.state);
            out["moves"].push_back(std::move(row));
        }
    send_json(response, 200, out);
}

void operator_api::list_events(httplib::Request const& request, httplib::Response& response)
{
    hybrid_timestamp const since{
        wall_time(duration(number_parameter(request, "since_us", 0))),
        static_cast<std::uint32_t>(number_parameter(request, "since_counter", 0))};
    auto const limit = std::min<std::size_t>(
        number_parameter(request, "limit", default_event_limit), max_event_limit);
    auto const view = this->control.view();
    auto const collected =
        collect_events(this->options, this->events, this->peers, view->entries, since, limit);
    nlohmann::json out;
    out["unreachable"] = collected.unreachable;
    out["events"] = nlohmann::json::array();
    for (auto const& entry : collected.events)
    {
        nlohmann::json fields = nlohmann::json::object();
        for (auto const& field : entry.fields)
            fields[field.key] = field.value;
        out["events"].push_back({{"when_us", entry.when.wall.time_since_epoch().count()},
                                 {"counter", entry.when.counter},
                                 {"when", format_wall_time(entry.when.wall)},
                                 {"vm", entry.vm},
                                 {"level", observability::to_string(entry.level)},
                                 {"name", entry.name},
                                 {"fields", fields}});
    }
    send_json(response, 200, out);
}

void operator_api::read_configuration(httplib::Response& response) const
{
    auto const view = this->control.view();
    if (!view->ready)
        throw refusal({503,
                       "not-ready",
                       "the control state was not yet read through a quorum",
                       execution::no,
                       {},
                       seconds(1),
                       {}});
    send_json(response, 200,
              {{"generation", view->shared->generation},
               {"file", view->shared->file},
               {"text", view->shared->text}});
}

void operator_api::apply_configuration(httplib::Request const& request, httplib::Response& response)
{
    auto const command = parse_apply(request.body);
    try
    {
        version::parse_configuration(command.file, command.text);
        auto const result =
            std::get<version::apply_result>(this->control.propose(command, apply_timeout));
        auto const body = describe(result);
        this->events.emit(severity::info, "configuration.applied",
                          {{"outcome", body["outcome"].get<std::string>()},
                           {"generation", std::to_string(result.generation.value())},
                           {"operation", command.operation.value()}});
        send_json(response, status_of(result.outcome), body);
    }
    catch (version::configuration_error const& problem)
    {
        send_json(response, 400, {{"outcome", "invalid"}, {"detail", problem.what()}});
    }
    catch (not_proposed_error const& problem)
    {
        response.set_header("Retry-After", "1");
        send_json(response, 503, {{"outcome", "not_proposed"}, {"detail", problem.what()}});
    }
    catch (outcome_unknown_error const& problem)
    {
        response.set_header("Retry-After", "1");
        send_json(response, 504, {{"outcome", "unknown"}, {"detail", problem.what()}});
    }
}

void operator_api::drain(httplib::Request const& request, httplib::Response& response)
{
    vm_id vm;
    try
    {
        nlohmann::json::parse(request.body).at("vm").get_to(vm);
    }
    catch (nlohmann::json::exception const& problem)
    {
        throw refusal(bad_request(problem.what()));
    }
    auto const view = this->control.view();
    bool known = std::any_of(view->entries.begin(), view->entries.end(),
                             [&](auto const& entry) { return entry.vm == vm; });
    for (auto const& [service, rows] : view->endpoints)
        known = known || std::any_of(rows.begin(), rows.end(),
                                     [&](auto const& row) { return row.vm == vm; });
    if (!known)
        throw refusal({404,
                       "unknown-vm",
                       "no entry and no endpoint runs on VM \"" + vm.value() + "\"",
                       execution::no,
                       {},
                       seconds(1),
                       {}});
    this->control.set_leaving(vm);
    this->events.emit(severity::info, "operator.drain", {{"target", vm.value()}});
    send_json(response, 202, {{"vm", vm}});
}

} // namespace lagoonladder::daemon
