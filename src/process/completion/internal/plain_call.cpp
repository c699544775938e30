#include <plain_call.hpp>

#include <algorithm>
#include <array>

namespace lagoonladder::completion
{

namespace
{

bool is_own_field(std::string const& name)
{
    static constexpr std::array<std::string_view, 5> names{
        "Host", "Content-Length", "Transfer-Encoding", "Authorization", "Expect"};
    return std::any_of(names.begin(), names.end(),
                       [&name](std::string_view known) { return http::equal_names(name, known); });
}

/// Fields without those that concern one connection or the caller's credentials.
http::header_list fields_to_pass_on(http::header_list const& fields)
{
    auto without_connection = fields;
    http::remove_connection_fields(without_connection);
    http::header_list passed;
    for (auto const& field : without_connection.fields())
    {
        if (!is_own_field(field.name))
            passed.add(field.name, field.value);
    }
    return passed;
}

http::request_head endpoint_head(plain_call const& call)
{
    http::request_head head{call.exchange->method(), call.target,
                            fields_to_pass_on(call.exchange->headers())};
    head.headers.set("X-Request-Id", call.id.value());
    head.headers.set("X-Account", call.account.name.value());
    head.headers.set("Idempotency-Key", call.key.empty() ? call.id.value() : call.key);
    return head;
}

std::string fault_reason(plain_attempt const& attempt)
{
    if (attempt.result == call_result::complete)
        return "status " + std::to_string(attempt.response.head.status);
    return attempt.result == call_result::not_connected ? "no connection"
                                                        : "the connection broke or was silent";
}

void count_attempt(plain_parts const& parts, plain_call const& call,
                   connection::endpoint_record const& endpoint, plain_attempt const& attempt,
                   duration elapsed)
{
    bool const answered = attempt.result == call_result::complete;
    bool const is_fault = !answered || attempt.response.head.status >= 500;
    request::route_outcome outcome;
    outcome.ok = !is_fault;
    outcome.first_byte = answered ? elapsed : duration(0);
    outcome.elapsed = elapsed;
    parts.router.attempt_ended(endpoint, outcome);

    version::traffic_sample sample;
    sample.service = call.service.name;
    sample.version = endpoint.version;
    sample.route = call.route;
    sample.requests = 1;
    sample.failures = is_fault ? 1 : 0;
    sample.whole_call.add(elapsed);
    parts.context.control.record_traffic(sample);
    if (!is_fault)
        return;
    parts.context.metrics.add("failed_attempts_total", {{"service", sample.service.value()},
                                                        {"version", sample.version.value()}});
    parts.context.events.emit(severity::warning, "attempt.failed",
                              {{"request_id", call.id.value()},
                               {"endpoint", endpoint.id.value()},
                               {"version", endpoint.version.value()},
                               {"reason", fault_reason(attempt)}});
}

} // namespace

std::shared_ptr<endpoint_call> start_plain_attempt(plain_parts const& parts, plain_call const& call,
                                                   connection::endpoint_record const& endpoint,
                                                   bool once,
                                                   std::function<void(plain_attempt const&)> done)
{
    auto const started = parts.context.time.now();
    auto const left = std::max<duration>(call.deadline - started, milliseconds(1));
    auto const progress = std::min(call.service.progress_timeout, left);
    return parts.calls.fetch(
        endpoint.address, endpoint_head(call), call.exchange->body(), progress, once,
        [parts, call, endpoint, started, done = std::move(done)](call_result result,
                                                                 whole_response const& response)
        {
            plain_attempt const attempt{result, response};
            count_attempt(parts, call, endpoint, attempt, parts.context.time.now() - started);
            done(attempt);
        });
}

void send_answer(plain_parts const& parts, plain_call const& call, whole_response const& answer)
{
    parts.context.metrics.observe_seconds("call_seconds", {{"service", call.service.name.value()}},
                                          to_seconds(parts.context.time.now() - call.arrived));
    auto const passed = fields_to_pass_on(answer.head.headers);
    for (auto const& field : passed.fields())
    {
        if (!http::equal_names(field.name, "X-Request-Id"))
            call.exchange->add_header(field.name, field.value);
    }
    call.exchange->respond(answer.head.status, {}, answer.body);
}

} // namespace lagoonladder::completion
