#include <endpoint_calls.hpp>

#include <algorithm>

namespace lagoonladder::completion
{

namespace
{

// Responses are buffered in memory, so their size is limited.
constexpr std::size_t max_response_bytes = 64 * 1024 * 1024;

// Connecting takes one round trip; the timeout allows for one lost packet of the handshake,
// which is retransmitted after 1 s.
constexpr duration connect_timeout = milliseconds(1500);

http::client_options make_options(std::size_t max_idle)
{
    http::client_options options;
    options.connect_timeout = connect_timeout;
    options.max_idle_per_address = max_idle;
    return options;
}

/// Returns whether the endpoint at the address is in an evacuated data centre.
bool is_evacuated(control_view const& view, network_address const& address)
{
    auto const evacuated = version::evacuated_data_centres(view.shared->evacuations);
    if (evacuated.empty())
        return false;
    auto const is_inside = [&](connection::endpoint_record const& endpoint)
    { return endpoint.address == address && evacuated.contains(endpoint.data_centre); };
    return std::any_of(
        view.endpoints.begin(), view.endpoints.end(),
        [&](auto const& service)
        { return std::any_of(service.second.begin(), service.second.end(), is_inside); });
}

/// Monitors the progress of one call, and repeats the call once on a new connection if a kept
/// connection turns out to be closed.
class monitored_call : public endpoint_call,
                       public http::response_observer,
                       public std::enable_shared_from_this<monitored_call>
{
public:
    monitored_call(traffic_context& shared_context, http::client& http_client,
                   network_address endpoint_address,
                   std::shared_ptr<std::string const> request_bytes, duration max_silence,
                   std::shared_ptr<response_receiver> target)
        : control(shared_context.control)
        , client(http_client)
        , address(std::move(endpoint_address))
        , request(std::move(request_bytes))
        , progress_timeout(max_silence)
        , receiver(std::move(target))
        , timer(*shared_context.loop)
    {
    }

    void start()
    {
        this->last_progress = std::chrono::steady_clock::now();
        this->call = this->client.send(this->address, this->request, this->shared_from_this());
        this->schedule_progress_check();
    }

    void cancel() override
    {
        this->receiver.reset();
        this->timer.cancel();
        if (auto const open_call = std::exchange(this->call, nullptr))
            open_call->cancel();
    }

    void pause() override
    {
        this->timer.cancel();
        if (this->call)
            this->call->pause();
    }

    http::head_action on_head(http::response_head const& head) override
    {
        this->has_response = true;
        this->record_progress();
        if (auto const target = this->receiver)
            target->on_head(head);
        return http::head_action::accept;
    }

    void on_body(std::string_view bytes) override
    {
        this->record_progress();
        if (auto const target = this->receiver)
            target->on_bytes(bytes);
    }

    void on_end() override { this->end(call_result::complete); }

    void on_failure(http::call_failure failure, std::string const&) override
    {
        if (failure == http::call_failure::not_sent)
            return this->end(call_result::not_connected);
        bool const was_closed =
            this->call && this->call->is_on_reused_connection() && !this->has_response;
        if (!was_closed || this->is_retried || is_evacuated(*this->control.view(), this->address))
            return this->end(call_result::broken);
        this->is_retried = true;
        // The endpoint has probably closed the other kept connections as well.
        this->client.close_idle_connections(this->address);
        this->call = this->client.send(this->address, this->request, this->shared_from_this());
    }

private:
    void record_progress() { this->last_progress = std::chrono::steady_clock::now(); }

    void schedule_progress_check()
    {
        this->timer.expires_at(this->last_progress + this->progress_timeout);
        this->timer.async_wait(
            [weak = this->weak_from_this()](asio::error_code const& cancelled)
            {
                auto const self = weak.lock();
                if (!cancelled && self && self->receiver)
                    self->check_progress();
            });
    }

    void check_progress()
    {
        auto const silence = std::chrono::steady_clock::now() - this->last_progress;
        if (silence < this->progress_timeout)
            return this->schedule_progress_check();
        bool const was_sent = this->call && this->call->may_have_sent();
        if (this->call)
            this->call->cancel();
        this->end(was_sent ? call_result::broken : call_result::not_connected);
    }

    void end(call_result result)
    {
        this->timer.cancel();
        this->call.reset();
        if (auto const target = std::exchange(this->receiver, nullptr))
            target->on_call_end(result);
    }

    control_plane& control;
    http::client& client;
    network_address const address;
    std::shared_ptr<std::string const> const request;
    duration const progress_timeout;
    std::shared_ptr<response_receiver> receiver;
    std::shared_ptr<http::client_call> call;
    asio::steady_timer timer;
    std::chrono::steady_clock::time_point last_progress{};
    bool has_response = false;
    bool is_retried = false;
};

/// Buffers a response in memory.
class buffering_receiver : public response_receiver
{
public:
    explicit buffering_receiver(response_handler handler)
        : done(std::move(handler))
    {
    }

    void on_head(http::response_head const& head) override { this->response.head = head; }

    void on_bytes(std::string_view bytes) override
    {
        this->is_too_large = this->response.body.size() + bytes.size() > max_response_bytes;
        if (!this->is_too_large)
            this->response.body += bytes;
        else if (auto const open_call = this->call.lock())
        {
            open_call->cancel();
            this->finish(call_result::broken);
        }
    }

    void on_call_end(call_result result) override { this->finish(result); }

    /// Weak, because the call holds a reference to its receiver.
    std::weak_ptr<endpoint_call> call;

private:
    void finish(call_result result)
    {
        if (auto const handler = std::exchange(this->done, nullptr))
            handler(result, this->response);
    }

    response_handler done;
    buffered_response response;
    bool is_too_large = false;
};

std::shared_ptr<endpoint_call> start_call(traffic_context& context, http::client& client,
                                          network_address const& address, http::request_head head,
                                          std::string const& body, duration progress_timeout,
                                          std::shared_ptr<response_receiver> receiver)
{
    head.headers.set("Host", address.value());
    auto const bytes = std::make_shared<std::string const>(http::format_request(head, body));
    auto const call = std::make_shared<monitored_call>(context, client, address, bytes,
                                                       progress_timeout, std::move(receiver));
    call->start();
    return call;
}

} // namespace

endpoint_calls::endpoint_calls(traffic_context& shared_context)
    : context(shared_context)
    , kept_connections(*shared_context.loop,
                       make_options(http::client_options().max_idle_per_address),
                       shared_context.time)
    , single_connections(*shared_context.loop, make_options(0), shared_context.time)
{
}

std::shared_ptr<endpoint_call> endpoint_calls::start(network_address const& address,
                                                     http::request_head head,
                                                     std::string const& body,
                                                     duration progress_timeout,
                                                     std::shared_ptr<response_receiver> receiver)
{
    return start_call(this->context, this->kept_connections, address, std::move(head), body,
                      progress_timeout, std::move(receiver));
}

std::shared_ptr<endpoint_call>
endpoint_calls::start_single_attempt(network_address const& address, http::request_head head,
                                     std::string const& body, duration progress_timeout,
                                     std::shared_ptr<response_receiver> receiver)
{
    head.headers.set("Connection", "close");
    return start_call(this->context, this->single_connections, address, std::move(head), body,
                      progress_timeout, std::move(receiver));
}

std::shared_ptr<endpoint_call> endpoint_calls::fetch(network_address const& address,
                                                     http::request_head head,
                                                     std::string const& body,
                                                     duration progress_timeout, bool once,
                                                     response_handler done)
{
    auto const receiver = std::make_shared<buffering_receiver>(std::move(done));
    auto const call =
        once
            ? this->start_single_attempt(address, std::move(head), body, progress_timeout, receiver)
            : this->start(address, std::move(head), body, progress_timeout, receiver);
    receiver->call = call;
    return call;
}

void endpoint_calls::stop()
{
    this->kept_connections.stop();
    this->single_connections.stop();
}

} // namespace lagoonladder::completion
