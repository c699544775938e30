#include <completion_routes.hpp>

#include <traffic_http.hpp>

namespace lagoonladder::daemon
{

namespace
{

// After this time without a token the caller gets a comment line, so that it can
// tell a slow answer from a dead connection.
constexpr duration read_wait = seconds(1);

// Expected length of an answer whose request does not state a limit.
constexpr double default_tokens = 128;

bool flag(nlohmann::json const& body, char const* name)
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

request::request_priority priority_of(httplib::Request const& request)
{
    auto const text = request.get_header_value("X-Priority");
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
    auto const* known =
        view.shared->configuration.find_service(service_name(model->get<std::string>()));
    if (!known || known->kind != version::service_kind::model_engine)
        throw refusal({404, "unknown-service",
                       "field \"model\": no model service \"" + model->get<std::string>() +
                           "\" is configured"});
    auto const count = body.find("n");
    if (count != body.end() && *count != 1)
        throw refusal({400, "bad-field", "field \"n\": only one choice is supported"});
    return *known;
}

} // namespace

request::fetched local_token_source::read(token_offset offset)
{
    return this->store.read(this->id, this->account, offset, read_wait);
}

void send_failure(httplib::Response& response, request::request_outcome const& outcome)
{
    response.status = static_cast<int>(outcome.failure_status);
    response.set_header("Retry-After", "1");
    response.set_content(outcome.failure, "application/problem+json");
}

void completion_routes::register_routes(httplib::Server& server)
{
    auto& context = this->service.parts().context;
    auto const bind = [&](bool is_chat)
    {
        return guarded(context,
                       [this, is_chat](httplib::Request const& request, httplib::Response& response)
                       { this->serve(request, response, is_chat); });
    };
    server.Post("/v1/chat/completions", bind(true));
    server.Post("/v1/completions", bind(false));
}

void completion_routes::serve(httplib::Request const& request, httplib::Response& response,
                              bool is_chat)
{
    auto& context = this->service.parts().context;
    auto const view = ready_view(context, execution::no);
    auto const& account = authenticate(*view, request);
    auto const body = parse_json_body(request);
    auto const& config = model_service(*view, body);
    bool const is_streamed = flag(body, "stream");
    auto const priority = priority_of(request);
    auto const timeout = priority == lagoonladder::request::request_priority::draft
                             ? config.draft_timeout
                             : config.default_timeout;
    new_completion const completion{account,
                                    config,
                                    request.path,
                                    request.body,
                                    priority,
                                    request_timeout(request, timeout),
                                    expected_tokens(body)};
    auto const id = this->service.next_id(*view);
    response.set_header("X-Request-Id", id.value());
    context.metrics.add("requests_total", {{"service", config.name.value()}});
    auto const started = context.time.now();
    auto counted = this->service.start(id, completion);

    auto source =
        std::make_shared<local_token_source>(this->service.parts().store, id, account.name);
    auto first = source->read(token_offset(0));
    while (first.status == request::fetch_status::found && first.tokens.empty() && !first.outcome)
        first = source->read(token_offset(0));
    context.metrics.observe_seconds("first_token_seconds", {{"service", config.name.value()}},
                                    to_seconds(context.time.now() - started));
    if (first.status != request::fetch_status::found)
        throw refusal(
            {500, "internal", "the request is no longer held", execution::unknown, id.value()});
    if (first.tokens.empty() && !first.outcome->failure.empty())
        return send_failure(response, *first.outcome);
    answer_header const header{id, config.name, is_chat};
    if (is_streamed)
        return stream_answer(response, std::move(source), header, std::move(first), token_offset(0),
                             std::move(counted));
    request::request_outcome outcome;
    auto const text = whole_answer(*source, header, std::move(first), outcome);
    if (!outcome.failure.empty())
        return send_failure(response, outcome);
    response.set_content(text, "application/json");
}

} // namespace lagoonladder::daemon
