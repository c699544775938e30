#include <plain_call.hpp>

#include <algorithm>
#include <array>
#include <thread>

namespace lagoonladder::daemon
{

namespace
{

// Answers are held in memory, so their size is bounded.
constexpr std::size_t max_answer_bytes = 64 * 1024 * 1024;

constexpr duration connect_timeout = milliseconds(1500);

bool belongs_to_connection(std::string const& name)
{
    static constexpr std::array<char const*, 15> names{
        "Connection",       "Keep-Alive",  "Transfer-Encoding",
        "Content-Length",   "Host",        "Authorization",
        "Upgrade",          "TE",          "Trailer",
        "Proxy-Connection", "REMOTE_ADDR", "REMOTE_PORT",
        "LOCAL_ADDR",       "LOCAL_PORT",  "Expect"};
    return std::any_of(names.begin(), names.end(),
                       [&name](char const* known) { return strcasecmp(name.c_str(), known) == 0; });
}

void count_attempt(plain_parts const& parts, plain_call const& call,
                   connection::endpoint_record const& endpoint, plain_attempt const& attempt,
                   duration elapsed)
{
    bool const answered = attempt.result == upstream_result::complete;
    bool const is_fault = !answered || attempt.response.status >= 500;
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
    parts.context.events.emit(
        severity::warning, "attempt.failed",
        {{"request_id", call.id.value()},
         {"endpoint", endpoint.id.value()},
         {"version", endpoint.version.value()},
         {"reason", answered ? "status " + std::to_string(attempt.response.status)
                    : attempt.result == upstream_result::not_connected
                        ? "no connection"
                        : "the connection broke or was silent"}});
}

} // namespace

httplib::Request endpoint_request(plain_call const& call)
{
    httplib::Request request;
    request.method = call.request->method;
    request.path = call.target;
    request.body = call.request->body;
    for (auto const& [name, value] : call.request->headers)
    {
        // The server has already decoded the body.
        bool const is_decoded = strcasecmp(name.c_str(), "Content-Encoding") == 0;
        if (!belongs_to_connection(name) && !is_decoded)
            request.headers.emplace(name, value);
    }
    request.headers.erase("X-Request-Id");
    request.headers.erase("X-Account");
    request.headers.erase("Idempotency-Key");
    request.headers.emplace("X-Request-Id", call.id.value());
    request.headers.emplace("X-Account", call.account.name.value());
    request.headers.emplace("Idempotency-Key", call.key.empty() ? call.id.value() : call.key);
    return request;
}

void copy_answer(httplib::Response const& from, httplib::Response& to)
{
    to.status = from.status;
    for (auto const& [name, value] : from.headers)
        if (!belongs_to_connection(name) && strcasecmp(name.c_str(), "X-Request-Id") != 0)
            to.headers.emplace(name, value);
    to.body = from.body;
}

plain_attempt run_plain_attempt(plain_parts const& parts, plain_call const& call,
                                connection::endpoint_record const& endpoint, bool once)
{
    plain_attempt attempt;
    auto request = endpoint_request(call);
    std::string body;
    request.content_receiver =
        [&body](char const* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        body.append(data, size);
        return body.size() <= max_answer_bytes;
    };
    auto const started = parts.context.time.now();
    auto const left = std::max<duration>(call.deadline - started, milliseconds(1));
    auto const progress = std::min(call.service.progress_timeout, left);
    attempt.result =
        once ? upstream_connections::call_once(endpoint.address, std::min(connect_timeout, left),
                                               progress, request, attempt.response)
             : parts.upstream.call(endpoint.address, progress, request, attempt.response);
    attempt.response.body = std::move(body);
    count_attempt(parts, call, endpoint, attempt, parts.context.time.now() - started);
    return attempt;
}

void serve_idempotent(plain_parts const& parts, plain_call const& call, httplib::Response& response)
{
    endpoint_query query{call.service.name, call.version, call.target, {}};
    parts.router.first_attempt(call.service);
    plain_attempt attempt;
    for (std::uint32_t attempts = 1;; ++attempts)
    {
        auto const view = parts.context.control.view();
        auto endpoint = parts.router.choose(*view, query);
        if (!endpoint && !query.excluded.empty())
        {
            query.excluded.clear();
            endpoint = parts.router.choose(*view, query);
        }
        if (!endpoint)
            throw refusal({503, "no-endpoint", "no endpoint of the service is serving",
                           execution::no, call.id.value(), seconds(2)});
        attempt = run_plain_attempt(parts, call, *endpoint, false);
        bool const answered = attempt.result == upstream_result::complete;
        if (answered && attempt.response.status < 500)
            break;
        query.excluded.push_back(endpoint->id);
        request::retry_query retry;
        retry.attempts = attempts;
        retry.deadline = call.deadline;
        retry.idempotent = true;
        auto const decision = parts.router.retry(call.service, retry);
        if (decision.delay)
        {
            std::this_thread::sleep_for(*decision.delay);
            continue;
        }
        if (answered)
            break;
        throw refusal({502, "endpoint-failed",
                       "the endpoint did not answer and no retry is allowed: " +
                           std::string(request::to_string(decision.refusal)),
                       execution::unknown, call.id.value()});
    }
    copy_answer(attempt.response, response);
}

} // namespace lagoonladder::daemon
