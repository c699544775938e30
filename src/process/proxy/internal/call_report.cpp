#include "call_report.hpp"

#include <algorithm>
#include <sstream>

namespace lagoonladder::proxy
{

namespace
{

std::string milliseconds_text(duration elapsed)
{
    return std::to_string(elapsed / milliseconds(1));
}

/// Limits the length of a log line, since callers choose the number of parts.
constexpr std::size_t max_logged_parts = 16;

/// Returns the hashes of the prompt's parts, in hexadecimal.
std::string describe_parts(request::prompt_parts const& prompt)
{
    std::ostringstream text;
    text << std::hex;
    for (std::size_t i = 0; i < std::min(prompt.size(), max_logged_parts); ++i)
        text << (i > 0 ? "," : "") << prompt[i].hash;
    return text.str();
}

/// Returns the version under which the endpoint's outcomes count in the comparison of a move.
version_name compared_version(traffic_view const& view, service_name const& service,
                              connection::endpoint_record const& endpoint)
{
    auto const split = view.splits.find(service);
    if (split == view.splits.end() || endpoint.version == split->second.candidate)
        return endpoint.version;
    // A move compares its candidate with all other versions together.
    return split->second.stable;
}

} // namespace

void count_attempt(proxy_context& context, service_name const& service,
                   std::uint32_t earlier_attempts)
{
    context.dependencies.metrics.add(
        "endpoint_attempts_total",
        {{"service", service.value()}, {"kind", earlier_attempts == 0 ? "first" : "repeated"}});
}

void report_failed_attempt(proxy_context& context, incoming_call const& call,
                           endpoint_attempt const& attempt, attempt_failure const& failure)
{
    auto const& endpoint = attempt.endpoint();
    context.dependencies.events.emit(
        severity::info, "call.attempt_failed",
        {{"id", call.id.value()},
         {"endpoint", endpoint.id.value()},
         {"address", endpoint.address.value()},
         {"result", to_string(failure.result)},
         {"reason", failure.reason},
         {"answer_status", std::to_string(attempt.status())},
         {"events", std::to_string(failure.events)},
         {"parts", describe_parts(call.prompt)},
         {"elapsed_ms", milliseconds_text(context.dependencies.time.now() - attempt.started())},
         {"row_sequence", std::to_string(endpoint.sequence)}});
}

void report_silence(proxy_context& context, incoming_call const& call,
                    endpoint_attempt const& attempt, duration silence, bool is_repeated,
                    bool has_other_endpoint)
{
    char const* kept_outcome =
        has_other_endpoint ? "kept_by_retry_budget" : "kept_without_other_endpoint";
    context.dependencies.events.emit(severity::info, "call.silent",
                                     {{"id", call.id.value()},
                                      {"endpoint", attempt.endpoint().id.value()},
                                      {"silent_ms", milliseconds_text(silence)},
                                      {"outcome", is_repeated ? "moved" : kept_outcome}});
}

version::traffic_sample make_sample(time_point now, traffic_view const& view,
                                    call_admission const& admitted, endpoint_attempt const& attempt,
                                    bool is_complete, time_point first_byte)
{
    version::traffic_sample sample;
    sample.service = admitted.service;
    sample.version = compared_version(view, admitted.service, attempt.endpoint());
    sample.route = admitted.route->name;
    sample.requests = 1;
    sample.failures = is_complete ? 0 : 1;
    if (admitted.route->is_stream && first_byte != time_point())
        sample.first_token.add(first_byte - attempt.started());
    sample.whole_call.add(now - attempt.started());
    return sample;
}

open_attempt_counter::open_attempt_counter(proxy_context& shared, call_admission const& admitted,
                                           connection::endpoint_record const& endpoint)
    : context(shared)
{
    auto& control = this->context.dependencies.control;
    this->sample.service = admitted.service;
    this->sample.version = compared_version(*control.view(), admitted.service, endpoint);
    this->sample.route = admitted.route->name;
    this->sample.open = 1;
    this->sample.sent = 1;
    control.record(this->sample);
    this->context.engine_work.request_started(admitted.service);
}

open_attempt_counter::~open_attempt_counter()
{
    this->sample.open = -1;
    this->sample.sent = 0;
    this->context.dependencies.control.record(this->sample);
    this->context.engine_work.request_ended(this->sample.service);
}

void report_end(proxy_context& context, incoming_call const& call, call_admission const& admitted,
                call_end const& end)
{
    auto const now = context.dependencies.time.now();
    auto const elapsed = now - end.arrived;
    auto const& route = admitted.route->name;
    bool const has_first_byte = end.first_byte != time_point();
    bool const is_answered = end.status >= 200 && end.status < 300;
    bool const is_written = !is_answered || context.answered_call_lines.take(now);
    context.dependencies.events.emit(
        is_written ? severity::info : severity::debug, "call.ended",
        {{"id", call.id.value()},
         {"route", route.value()},
         {"service", admitted.service.value()},
         {"outcome", end.outcome},
         {"status", std::to_string(end.status)},
         {"reason", end.reason},
         {"attempts", std::to_string(end.attempts)},
         {"endpoint", end.endpoint.value()},
         {"endpoint_load", std::to_string(end.endpoint_load)},
         {"prompt_ahead", std::to_string(end.prompt_ahead)},
         {"first_byte_ms", has_first_byte ? milliseconds_text(end.first_byte - end.arrived) : ""},
         {"elapsed_ms", milliseconds_text(elapsed)},
         {"configuration", std::to_string(admitted.services->map().number)}});
    context.dependencies.metrics.add("proxied_calls_total",
                                     {{"route", route.value()}, {"outcome", end.outcome}});
    context.dependencies.metrics.observe_seconds("proxied_call_seconds", {{"route", route.value()}},
                                                 to_seconds(elapsed));
    if (has_first_byte)
        context.dependencies.metrics.observe_seconds("proxied_first_byte_seconds",
                                                     {{"route", route.value()}},
                                                     to_seconds(end.first_byte - end.arrived));
}

} // namespace lagoonladder::proxy
