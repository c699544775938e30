#include <engine_attempt.hpp>

#include <traffic_upstream.hpp>

namespace lagoonladder::daemon
{

namespace
{

constexpr duration cancel_timeout = milliseconds(300);

// Bytes of an engine's error answer that go into the detail of the refusal.
constexpr std::size_t max_detail = 500;

attempt_result judge_status(int status, std::string const& body)
{
    attempt_result result;
    result.status = status;
    result.detail =
        "the engine answered status " + std::to_string(status) + ": " + body.substr(0, max_detail);
    if (status == 429 || status == 503)
        result.end = attempt_end::busy;
    else if (status >= 400 && status < 500 && status != 408)
        result.end = attempt_end::rejected;
    return result;
}

/// Answer of status 200, or no value.
std::optional<nlohmann::json> post_json(network_address const& address, std::string const& path,
                                        nlohmann::json const& body, duration timeout)
{
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.headers.emplace("Content-Type", "application/json");
    request.body = body.dump();
    httplib::Response response;
    auto const result =
        upstream_connections::call_once(address, timeout, timeout, request, response);
    if (result != upstream_result::complete || response.status != 200)
        return std::nullopt;
    return nlohmann::json::parse(response.body, nullptr, false);
}

} // namespace

attempt_result run_attempt(upstream_connections& upstream, attempt_request const& attempt,
                           token_handler const& on_token, continue_check const& may_continue)
{
    event_stream_parser parser;
    std::string refused_body;
    std::string finish_reason;
    bool ended = false;
    bool engine_failed = false;
    int status = 0;
    auto const on_event = [&](std::string_view data)
    {
        auto const event = read_engine_event(data);
        ended = ended || event.is_end;
        engine_failed = event.is_error;
        if (!event.finish_reason.empty())
            finish_reason = event.finish_reason;
        return !engine_failed && (!event.is_token || on_token(event, data));
    };
    httplib::Request request;
    request.method = "POST";
    request.path = attempt.path;
    request.headers.emplace("Content-Type", "application/json");
    request.body = attempt.body;
    request.response_handler = [&](httplib::Response const& response)
    {
        status = response.status;
        return true;
    };
    request.content_receiver = [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        if (status != 200)
        {
            refused_body.append(data, std::min(size, max_detail));
            return refused_body.size() < event_stream_parser::max_event;
        }
        return parser.feed({data, size}, on_event) && may_continue();
    };
    httplib::Response response;
    auto const sent = upstream.call(attempt.address, attempt.progress_timeout, request, response);
    if (status != 0 && status != 200)
        return judge_status(status, refused_body);
    if (!finish_reason.empty() || ended)
        return {attempt_end::finished, 200, "", finish_reason.empty() ? "stop" : finish_reason};
    if (engine_failed)
        return {attempt_end::failed, status, "the engine reported an error in the stream", ""};
    if (sent == upstream_result::stopped)
        return {attempt_end::stopped, status, "the attempt was ended", ""};
    if (sent == upstream_result::not_connected)
        return {attempt_end::failed, 0, "the engine cannot be reached", ""};
    return {attempt_end::failed, status, "the stream broke or was silent", ""};
}

void cancel_on_engine(network_address const& address, attempt_id const& id)
{
    post_json(address, "/v1/cancel", {{"request_id", id}}, cancel_timeout);
}

kv_export export_kv(network_address const& address, attempt_id const& id, duration timeout)
{
    auto const answer = post_json(address, "/v1/kv/export", {{"request_id", id}}, timeout);
    kv_export exported;
    if (!answer || !answer->is_object() || !answer->contains("handle") ||
        !(*answer)["handle"].is_string())
        return exported;
    exported.handle = (*answer)["handle"];
    exported.tokens = answer->value("tokens", std::uint64_t(0));
    return exported;
}

bool import_kv(network_address const& address, kv_export const& exported,
               network_address const& source, duration timeout)
{
    auto const answer = post_json(address, "/v1/kv/import",
                                  {{"handle", exported.handle}, {"source", source}}, timeout);
    return answer.has_value();
}

} // namespace lagoonladder::daemon
