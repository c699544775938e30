#include <plain_call.hpp>

#include <algorithm>
#include <array>

namespace lagoonladder::completion
{

namespace
{

bool is_removed_field(std::string const& name)
{
    static constexpr std::array<std::string_view, 5> names{
        "Host", "Content-Length", "Transfer-Encoding", "Authorization", "Expect"};
    return std::any_of(names.begin(), names.end(),
                       [&name](std::string_view removed_name)
                       { return http::equal_names(name, removed_name); });
}

/// Copies the header fields without those that concern one connection or the caller's
/// credentials.
http::header_list forwarded_fields(http::header_list const& fields)
{
    auto without_connection = fields;
    http::remove_connection_fields(without_connection);
    http::header_list forwarded;
    for (auto const& field : without_connection.fields())
    {
        if (!is_removed_field(field.name))
            forwarded.add(field.name, field.value);
    }
    return forwarded;
}

http::request_head endpoint_head(plain_call const& call)
{
    http::request_head head{call.exchange->method(), call.target,
                            forwarded_fields(call.exchange->headers())};
    head.headers.set("X-Request-Id", call.id.value());
    head.headers.set("X-Account", call.account.name.value());
    head.headers.set("Idempotency-Key", call.key.empty() ? call.id.value() : call.key);
    return head;
}

std::string failure_reason(plain_attempt_result const& attempt)
{
    if (attempt.result == call_result::complete)
        return "status " + std::to_string(attempt.response.head.status);
    return attempt.result == call_result::not_connected ? "no connection"
                                                        : "the connection broke or was silent";
}

void count_attempt(plain_dependencies const& dependencies, plain_call const& call,
                   connection::endpoint_record const& endpoint, plain_attempt_result const& attempt,
                   duration elapsed)
{
    bool const is_answered = attempt.result == call_result::complete;
    bool const is_failure = !is_answered || attempt.response.head.status >= 500;
    request::route_outcome outcome;
    outcome.ok = !is_failure;
    outcome.first_byte = is_answered ? elapsed : duration(0);
    outcome.elapsed = elapsed;
    dependencies.router.attempt_ended(endpoint, outcome);

    version::traffic_sample sample;
    sample.service = call.service.name;
    sample.version = endpoint.version;
    sample.route = call.route;
    sample.requests = 1;
    sample.failures = is_failure ? 1 : 0;
    sample.whole_call.add(elapsed);
    dependencies.context.control.record_traffic(sample);
    if (!is_failure)
        return;
    dependencies.context.metrics.add(
        "failed_attempts_total",
        {{"service", sample.service.value()}, {"version", sample.version.value()}});
    dependencies.context.events.emit(severity::warning, "attempt.failed",
                                     {{"request_id", call.id.value()},
                                      {"endpoint", endpoint.id.value()},
                                      {"version", endpoint.version.value()},
                                      {"reason", failure_reason(attempt)}});
}

} // namespace

std::shared_ptr<endpoint_call>
start_plain_attempt(plain_dependencies const& dependencies, plain_call const& call,
                    connection::endpoint_record const& endpoint, bool once,
                    std::function<void(plain_attempt_result const&)> done)
{
    auto const started = dependencies.context.time.now();
    auto const remaining = std::max<duration>(call.deadline - started, milliseconds(1));
    auto const progress_timeout = std::min(call.service.progress_timeout, remaining);
    return dependencies.calls.fetch(endpoint.address, endpoint_head(call), call.exchange->body(),
                                    progress_timeout, once,
                                    [dependencies, call, endpoint, started, done = std::move(done)](
                                        call_result result, buffered_response const& response)
                                    {
                                        plain_attempt_result const attempt{result, response};
                                        count_attempt(dependencies, call, endpoint, attempt,
                                                      dependencies.context.time.now() - started);
                                        done(attempt);
                                    });
}

void send_response(plain_dependencies const& dependencies, plain_call const& call,
                   buffered_response const& response)
{
    dependencies.context.metrics.observe_seconds(
        "call_seconds", {{"service", call.service.name.value()}},
        to_seconds(dependencies.context.time.now() - call.arrived));
    auto const forwarded = forwarded_fields(response.head.headers);
    for (auto const& field : forwarded.fields())
    {
        if (!http::equal_names(field.name, "X-Request-Id"))
            call.exchange->add_header(field.name, field.value);
    }
    call.exchange->respond(response.head.status, {}, response.body);
}

} // namespace lagoonladder::completion
