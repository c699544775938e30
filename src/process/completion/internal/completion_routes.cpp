#include <completion_routes.hpp>

#include <lagoonladder/completion/route_table.hpp>
#include <local_token_source.hpp>

namespace lagoonladder::completion
{

namespace
{

// Expected number of tokens of an answer whose request does not set a limit.
constexpr double default_tokens = 128;

bool bool_field(nlohmann::json const& body, char const* name)
{
    auto const found = body.find(name);
    if (found == body.end() || found->is_null())
        return false;
    if (!found->is_boolean())
        throw refusal({400, "bad-field", "field \"" + std::string(name) + "\" must be a boolean"});
    return found->get<bool>();
}

double expected_tokens(nlohmann::json const& body)
{
    for (auto const* name : {"max_completion_tokens", "max_tokens"})
    {
        auto const found = body.find(name);
        if (found == body.end() || found->is_null())
            continue;
        if (!found->is_number_unsigned() || found->get<std::uint64_t>() == 0)
            throw refusal({400, "bad-field",
                           "field \"" + std::string(name) + "\" must be a positive integer"});
        return found->get<double>();
    }
    return default_tokens;
}

request::request_priority priority_of(api_exchange const& exchange)
{
    auto const text = exchange.header("X-Priority");
    if (text == "draft")
        return request::request_priority::draft;
    if (text.empty() || text == "interactive")
        return request::request_priority::interactive;
    throw refusal({400, "bad-header", "X-Priority must be interactive or draft"});
}

version::service_config const& model_service(control_view const& view, nlohmann::json const& body)
{
    if (!body.is_object())
        throw refusal({400, "bad-json", "the body must be a JSON object"});
    auto const model = body.find("model");
    if (model == body.end() || !model->is_string())
        throw refusal({400, "bad-field", "field \"model\" must name a service"});
    auto const* found_service =
        view.shared->configuration.find_service(service_name(model->get<std::string>()));
    if (!found_service || found_service->kind != version::service_kind::model_engine)
        throw refusal({404, "unknown-service",
                       "field \"model\": no model service \"" + model->get<std::string>() +
                           "\" is configured"});
    auto const count = body.find("n");
    if (count != body.end() && *count != 1)
        throw refusal({400, "bad-field", "field \"n\": only one choice is supported"});
    return *found_service;
}

} // namespace

void completion_routes::register_routes(route_table& routes)
{
    routes.add("POST", "/v1/chat/completions",
               [this](auto const& exchange) { this->serve(exchange, true); });
    routes.add("POST", "/v1/completions",
               [this](auto const& exchange) { this->serve(exchange, false); });
}

void completion_routes::serve(std::shared_ptr<api_exchange> const& exchange, bool is_chat)
{
    auto& context = this->service.dependencies().context;
    auto const view = ready_view(context, execution::no);
    auto const& account = authenticate(*view, *exchange);
    auto const body = parse_json_body(*exchange);
    auto const& config = model_service(*view, body);
    bool const is_streamed = bool_field(body, "stream");
    auto const priority = priority_of(*exchange);
    auto const timeout = priority == request::request_priority::draft ? config.draft_timeout
                                                                      : config.default_timeout;
    new_completion const completion{account,
                                    config,
                                    exchange->path(),
                                    exchange->body(),
                                    priority,
                                    request_timeout(*exchange, timeout),
                                    expected_tokens(body)};
    auto const id = this->service.next_id(*view);
    exchange->set_header("X-Request-Id", id.value());
    context.metrics.add("requests_total", {{"service", config.name.value()}});
    answer_properties const properties{id, config.name, is_chat};
    this->service.start(id, completion,
                        [this, exchange, properties, account = account.name, is_streamed,
                         started = context.time.now()](started_completion const& result)
                        {
                            if (auto const* details = std::get_if<problem>(&result))
                                return exchange->refuse(*details);
                            this->answer(exchange, properties, account, is_streamed, started,
                                         std::get<std::shared_ptr<open_request>>(result));
                        });
}

void completion_routes::answer(std::shared_ptr<api_exchange> const& exchange,
                               answer_properties const& properties, account_id const& account,
                               bool is_streamed, time_point started,
                               std::shared_ptr<open_request> request_guard)
{
    auto& dependencies = this->service.dependencies();
    auto const source = std::make_shared<local_token_source>(
        dependencies.context.loop, dependencies.store, properties.id, account);
    read_first(source, token_offset(0),
               [&context = dependencies.context, exchange, properties, source, is_streamed, started,
                request_guard = std::move(request_guard)](request::fetch_result const& first)
               {
                   context.metrics.observe_seconds("first_token_seconds",
                                                   {{"service", properties.service.value()}},
                                                   to_seconds(context.time.now() - started));
                   if (first.status != request::fetch_status::found)
                       return exchange->refuse({500, "internal", "the request is no longer stored",
                                                execution::unknown, properties.id.value()});
                   if (first.tokens.empty() && !first.outcome->failure.empty())
                       return send_failure(*exchange, *first.outcome);
                   if (is_streamed)
                       return stream_answer(exchange, source, properties, first, token_offset(0),
                                            request_guard);
                   send_buffered_answer(exchange, source, properties, first, request_guard);
               });
}

} // namespace lagoonladder::completion
