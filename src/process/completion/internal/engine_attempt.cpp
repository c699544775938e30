#include <engine_attempt.hpp>

namespace lagoonladder::completion
{

namespace
{

constexpr duration cancel_timeout = milliseconds(300);

// Bytes of an engine's error response that are quoted in the detail of the refusal.
constexpr std::size_t max_detail_bytes = 500;

// Bytes after the last event, or of an engine's error response, that are read so that the
// connection can be reused. The connection is closed when the engine sends more.
constexpr std::size_t max_drained_bytes = 16 * 1024;

using json_handler = std::function<void(std::optional<nlohmann::json> const&)>;

http::request_head post_head(std::string const& path)
{
    http::request_head head{"POST", path, {}};
    head.headers.add("Content-Type", "application/json");
    return head;
}

/// `done` receives the body of a response of status 200, or no value.
void post_json(endpoint_calls& calls, network_address const& address, std::string const& path,
               nlohmann::json const& body, duration timeout, json_handler done)
{
    calls.fetch(address, post_head(path), body.dump(), timeout, true,
                [done = std::move(done)](call_result result, buffered_response const& response)
                {
                    if (result != call_result::complete || response.head.status != 200)
                        return done(std::nullopt);
                    done(nlohmann::json::parse(response.body, nullptr, false));
                });
}

kv_export read_export(std::optional<nlohmann::json> const& response)
{
    kv_export cache;
    if (!response || !response->is_object())
        return cache;
    auto const handle = response->find("handle");
    auto const tokens = response->find("tokens");
    if (handle == response->end() || !handle->is_string())
        return cache;
    cache.handle = handle->get<std::string>();
    if (tokens != response->end() && tokens->is_number_unsigned())
        cache.tokens = tokens->get<std::uint64_t>();
    return cache;
}

} // namespace

void engine_attempt::start(endpoint_calls& calls, attempt_request const& request)
{
    this->call = calls.start(request.address, post_head(request.path), request.body,
                             request.progress_timeout, this->shared_from_this());
}

void engine_attempt::stop()
{
    if (auto const open_call = this->call.lock())
        open_call->cancel();
    this->end({attempt_end::stopped, this->status, "the attempt was stopped", ""});
}

void engine_attempt::pause()
{
    if (auto const open_call = this->call.lock())
        open_call->pause();
}

void engine_attempt::on_head(http::response_head const& head)
{
    this->status = head.status;
}

bool engine_attempt::handle_event(std::string_view data)
{
    // Events after the end event do not belong to the answer.
    if (this->has_end_event)
        return true;
    auto const event = read_engine_event(data);
    this->has_end_event = this->has_end_event || event.is_end;
    this->has_error_event = event.is_error;
    if (!event.finish_reason.empty())
        this->finish_reason = event.finish_reason;
    if (this->has_error_event)
        return false;
    auto const target = this->receiver;
    if (event.is_token && target)
        target->on_token(event, data);
    return !this->has_ended;
}

void engine_attempt::on_bytes(std::string_view bytes)
{
    if (this->has_ended)
        return;
    if (this->status != 200 || this->has_end_event)
        this->drained_bytes += bytes.size();
    if (this->drained_bytes > max_drained_bytes)
        return this->close();
    if (this->status != 200)
    {
        this->error_body.append(bytes.substr(0, max_detail_bytes - this->error_body.size()));
        return;
    }
    bool const can_continue = this->parser.feed(bytes, [this](std::string_view data)
                                                { return this->handle_event(data); });
    if (this->has_ended)
        return;
    if (!can_continue)
        return this->close();
    if (auto const target = this->receiver)
        target->on_progress();
}

void engine_attempt::close()
{
    if (auto const open_call = this->call.lock())
        open_call->cancel();
    this->on_call_end(call_result::broken);
}

void engine_attempt::on_call_end(call_result result)
{
    this->end(this->evaluate(result));
}

attempt_result engine_attempt::evaluate(call_result result) const
{
    if (this->status != 0 && this->status != 200)
    {
        auto end = attempt_end::failed;
        if (this->status == 429 || this->status == 503)
            end = attempt_end::busy;
        else if (this->status >= 400 && this->status < 500 && this->status != 408)
            end = attempt_end::rejected;
        return {end, this->status,
                "the engine responded with status " + std::to_string(this->status) + ": " +
                    this->error_body,
                ""};
    }
    if (!this->finish_reason.empty() || this->has_end_event)
        return {attempt_end::finished, 200, "",
                this->finish_reason.empty() ? "stop" : this->finish_reason};
    if (this->has_error_event)
        return {attempt_end::failed, this->status, "the engine reported an error in the stream",
                ""};
    if (result == call_result::not_connected)
        return {attempt_end::failed, 0, "the engine cannot be reached", ""};
    return {attempt_end::failed, this->status, "the stream broke or was silent", ""};
}

void engine_attempt::end(attempt_result const& result)
{
    if (std::exchange(this->has_ended, true))
        return;
    auto const self = this->shared_from_this();
    if (auto const target = std::exchange(this->receiver, nullptr))
        target->on_attempt_end(result);
}

void cancel_on_engine(endpoint_calls& calls, network_address const& address, attempt_id const& id)
{
    post_json(calls, address, "/v1/cancel", {{"request_id", id}}, cancel_timeout,
              [](std::optional<nlohmann::json> const&) {});
}

void export_kv(endpoint_calls& calls, network_address const& address, attempt_id const& id,
               duration timeout, std::function<void(kv_export const&)> done)
{
    post_json(calls, address, "/v1/kv/export", {{"request_id", id}}, timeout,
              [done = std::move(done)](std::optional<nlohmann::json> const& response)
              { done(read_export(response)); });
}

void import_kv(endpoint_calls& calls, network_address const& address,
               kv_export const& exported_cache, network_address const& source, duration timeout,
               std::function<void(bool)> done)
{
    post_json(calls, address, "/v1/kv/import",
              {{"handle", exported_cache.handle}, {"source", source}}, timeout,
              [done = std::move(done)](std::optional<nlohmann::json> const& response)
              { done(response.has_value()); });
}

} // namespace lagoonladder::completion
