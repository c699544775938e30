#include "operator_api.hpp"

#include <algorithm>
#include <charconv>

#include "evacuation_orders.hpp"

namespace lagoonladder::daemon
{

namespace
{

constexpr duration apply_timeout = seconds(5);
constexpr std::size_t default_event_limit = 200;
constexpr std::size_t max_event_limit = 10'000;
constexpr std::size_t collector_thread_count = 1;

completion::problem bad_request(std::string detail)
{
    return {400, "bad-request", std::move(detail), completion::execution::no, {}, seconds(1), {}};
}

std::uint64_t number_parameter(completion::api_exchange const& exchange, char const* name,
                               std::uint64_t fallback)
{
    if (!exchange.has_parameter(name))
        return fallback;
    auto const text = exchange.parameter(name);
    std::uint64_t value = 0;
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        throw completion::refusal(
            bad_request("parameter \"" + std::string(name) + "\" is not an integer of at least 0"));
    return value;
}

version::apply_configuration parse_apply_request(std::string const& body)
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
            throw completion::refusal(bad_request("field \"operation\" is empty"));
        return command;
    }
    catch (nlohmann::json::exception const& malformed)
    {
        throw completion::refusal(bad_request(malformed.what()));
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

char const* state_name(version::move_state state)
{
    using version::move_state;
    if (state == move_state::running)
        return "running";
    return state == move_state::finished ? "finished" : "reversed";
}

unsigned http_status(version::apply_outcome outcome)
{
    if (outcome == version::apply_outcome::conflict)
        return 409;
    return outcome == version::apply_outcome::invalid ? 400 : 200;
}

nlohmann::json describe(control::collected_events const& collected)
{
    nlohmann::json out;
    out["unreachable"] = collected.unreachable;
    out["events"] = nlohmann::json::array();
    for (auto const& event : collected.events)
    {
        nlohmann::json fields = nlohmann::json::object();
        for (auto const& field : event.fields)
            fields[field.key] = field.value;
        out["events"].push_back({{"when_us", event.when.wall.time_since_epoch().count()},
                                 {"counter", event.when.counter},
                                 {"when", format_wall_time(event.when.wall)},
                                 {"vm", event.vm},
                                 {"level", observability::to_string(event.level)},
                                 {"name", event.name},
                                 {"fields", fields}});
    }
    return out;
}

} // namespace

operator_api::operator_api(config::settings const& config, control::control_plane& plane,
                           observability::event_timeline& log, control::peer_channels& channels)
    : options(config)
    , control(plane)
    , events(log)
    , peers(channels)
    , event_collectors(collector_thread_count)
{
}

operator_api::~operator_api()
{
    this->event_collectors.join();
}

void operator_api::register_routes(completion::route_table& routes)
{
    auto const authorised = [this](auto action)
    {
        return [this, action](exchange_pointer const& exchange)
        {
            this->authorise(*exchange);
            action(exchange);
        };
    };
    routes.add("GET", "/v1/operator/status",
               authorised([this](auto const& exchange) { this->report_status(*exchange); }));
    routes.add("GET", "/v1/operator/moves",
               authorised([this](auto const& exchange) { this->list_moves(*exchange); }));
    routes.add("GET", "/v1/operator/events",
               authorised([this](auto const& exchange) { this->list_events(exchange); }));
    routes.add("GET", "/v1/operator/configuration",
               authorised([this](auto const& exchange) { this->read_configuration(*exchange); }));
    routes.add("PUT", "/v1/operator/configuration",
               authorised([this](auto const& exchange) { this->apply_configuration(exchange); }));
    routes.add("POST", "/v1/operator/evacuations",
               authorised([this](auto const& exchange)
                          { order_evacuation(this->options, this->control, exchange); }));
    routes.add(
        "POST", "/v1/operator/explain",
        authorised([this](auto const& exchange) { explain_placement(this->explainer, exchange); }));
    routes.add("POST", "/v1/operator/drain",
               authorised([this](auto const& exchange) { this->drain(*exchange); }));
}

void operator_api::authorise(completion::api_exchange const& exchange)
{
    auto const authorization = exchange.header("Authorization");
    if (secret_equals(authorization, "Bearer " + this->options.operator_token))
        return;
    this->events.emit(severity::warning, "operator.refused",
                      {{"path", exchange.path()},
                       {"remote", exchange.caller()},
                       {"reason", authorization.empty() ? "no token" : "wrong token"}});
    throw completion::refusal({401, "unauthorised",
                               "operator requests need the header \"Authorization: Bearer\" "
                               "with the operator token",
                               completion::execution::no});
}

void operator_api::report_status(completion::api_exchange& exchange) const
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
    out["evacuations"] = describe_evacuations(*view);
    out["warnings"] = nlohmann::json::array();
    if (!view->ready)
        out["warnings"].push_back("the control state has not been read through a quorum yet");
    else if (!view->quorum_recent)
        out["warnings"].push_back(
            "no quorum was reachable recently: this view may be out of date, and calls that "
            "need the quorum are answered with \"unknown\"");
    exchange.respond_json(200, out.dump());
}

void operator_api::list_moves(completion::api_exchange& exchange) const
{
    auto const view = this->control.view();
    nlohmann::json out;
    out["moves"] = nlohmann::json::array();
    if (view->shared)
        for (auto const& move : view->shared->moves)
        {
            nlohmann::json row = move;
            row["state"] = state_name(move.state);
            out["moves"].push_back(std::move(row));
        }
    exchange.respond_json(200, out.dump());
}

void operator_api::list_events(exchange_pointer const& exchange)
{
    hybrid_timestamp const since{
        wall_time(duration(number_parameter(*exchange, "since_us", 0))),
        static_cast<std::uint32_t>(number_parameter(*exchange, "since_counter", 0))};
    auto const limit = std::min<std::size_t>(
        number_parameter(*exchange, "limit", default_event_limit), max_event_limit);
    std::function<void(std::string const&)> const respond = [exchange](std::string const& text)
    { exchange->respond_json(200, text); };
    asio::post(this->event_collectors,
               [this, since, limit, entries = this->control.view()->entries,
                done = completion::on_loop(exchange->loop(), respond)]
               {
                   done(describe(control::collect_events(this->options, this->events, this->peers,
                                                         entries, since, limit))
                            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
               });
}

void operator_api::read_configuration(completion::api_exchange& exchange) const
{
    auto const view = this->control.view();
    if (!view->ready)
        throw completion::refusal({503, "not-ready",
                                   "the control state has not been read through a quorum yet",
                                   completion::execution::no});
    nlohmann::json const out{{"generation", view->shared->generation},
                             {"file", view->shared->file},
                             {"text", view->shared->text}};
    exchange.respond_json(200, out.dump());
}

void operator_api::apply_configuration(exchange_pointer const& exchange)
{
    auto const command = parse_apply_request(exchange->body());
    try
    {
        version::parse_configuration(command.file, command.text);
    }
    catch (version::configuration_error const& invalid)
    {
        nlohmann::json const out{{"outcome", "invalid"}, {"detail", invalid.what()}};
        return exchange->respond_json(400, out.dump());
    }
    control::control_plane::proposal_handler const done =
        [this, exchange, operation = command.operation](control::proposal_outcome const& outcome)
    { this->report_apply_outcome(*exchange, operation, outcome); };
    this->control.propose(command, apply_timeout, completion::on_loop(exchange->loop(), done));
}

void operator_api::report_apply_outcome(completion::api_exchange& exchange,
                                        operation_id const& operation,
                                        control::proposal_outcome const& outcome)
{
    auto const* result = std::get_if<version::apply_result>(&outcome.result);
    if (outcome.status == control::proposal_status::committed && result != nullptr)
    {
        auto const body = describe(*result);
        this->events.emit(severity::info, "configuration.applied",
                          {{"outcome", body["outcome"].get<std::string>()},
                           {"generation", std::to_string(result->generation.value())},
                           {"operation", operation.value()}});
        return exchange.respond_json(http_status(result->outcome), body.dump());
    }
    bool const is_unchanged = outcome.status == control::proposal_status::not_proposed;
    nlohmann::json const body{
        {"outcome", is_unchanged ? "not_proposed" : "unknown"},
        {"detail", is_unchanged ? "no leader accepted the command in time; nothing was changed"
                                : "no quorum confirmed the command in time"}};
    exchange.set_header("Retry-After", "1");
    exchange.respond_json(is_unchanged ? 503 : 504, body.dump());
}

void operator_api::drain(completion::api_exchange& exchange)
{
    vm_id vm;
    try
    {
        nlohmann::json::parse(exchange.body()).at("vm").get_to(vm);
    }
    catch (nlohmann::json::exception const& malformed)
    {
        throw completion::refusal(bad_request(malformed.what()));
    }
    auto const view = this->control.view();
    bool is_known = std::any_of(view->entries.begin(), view->entries.end(),
                                [&](auto const& entry) { return entry.vm == vm; });
    for (auto const& [service, rows] : view->endpoints)
        is_known = is_known || std::any_of(rows.begin(), rows.end(),
                                           [&](auto const& row) { return row.vm == vm; });
    if (!is_known)
        throw completion::refusal({404,
                                   "unknown-vm",
                                   "no entry or endpoint runs on VM \"" + vm.value() + "\"",
                                   completion::execution::no,
                                   {},
                                   seconds(1),
                                   {}});
    this->control.set_leaving(vm);
    this->events.emit(severity::info, "operator.drain", {{"target", vm.value()}});
    exchange.respond_json(202, nlohmann::json{{"vm", vm}}.dump());
}

} // namespace lagoonladder::daemon
