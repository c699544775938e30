#include "client_connection.hpp"

#include "socket_options.hpp"

namespace lagoonladder::http
{

namespace
{

constexpr unsigned first_interim_status = 100;
constexpr unsigned first_final_status = 200;
constexpr unsigned last_final_status = 599;
/// Maximum number of interim responses and responses to earlier requests before the response to a
/// call. A connection carries one call at a time, so few of either are expected.
constexpr std::size_t max_skipped_responses = 32;
/// Maximum size of these responses and the response head together. Without this limit, a server
/// that never stops sending such bytes would occupy the call until its deadline.
constexpr std::size_t max_bytes_before_response = 1024 * 1024;
/// Maximum number of body bytes that are discarded to keep a connection. Reading more would cost
/// more than opening a new connection.
constexpr std::size_t max_discarded_bytes = 64 * 1024;
/// Maximum time to discard a body. A short body follows its head in the same packets or one round
/// trip later.
constexpr duration drain_timeout = milliseconds(500);

} // namespace

client_connection::client_connection(asio::io_context& context, network_address to,
                                     client_options const& settings, clock const& clock_source,
                                     std::weak_ptr<connection_pool> owning_pool)
    : socket(context)
    , connect_timer(context)
    , response_timer(context)
    , target(std::move(to))
    , options(settings)
    , time(clock_source)
    , pool(std::move(owning_pool))
{
}

void client_connection::start(std::shared_ptr<std::string const> bytes,
                              std::shared_ptr<std::string const> body,
                              std::shared_ptr<response_observer> receiver)
{
    this->request = std::move(bytes);
    this->request_body = std::move(body);
    this->observer = std::move(receiver);
    this->has_started_sending = false;
    this->has_sent_request = false;
    this->is_paused = false;
    this->has_response_head = false;
    this->is_draining = false;
    this->bytes_before_response = 0;
    this->skipped_responses = 0;
    this->discarded_bytes = 0;
    this->is_head_request = this->request->starts_with("HEAD ");
    this->prepare_parser();
}

void client_connection::connect()
{
    asio::ip::tcp::endpoint endpoint;
    try
    {
        endpoint = to_endpoint(this->target);
    }
    catch (http_error const& problem)
    {
        auto const reason = std::string(problem.what());
        asio::post(this->socket.get_executor(), [self = this->shared_from_this(), reason]
                   { self->fail(call_failure::not_sent, reason); });
        return;
    }
    this->connect_timer.expires_after(this->options.connect_timeout);
    this->connect_timer.async_wait(
        [weak = this->weak_from_this()](asio::error_code const& problem)
        {
            auto const self = weak.lock();
            if (!problem && self && !self->is_connected)
                self->fail(call_failure::not_sent,
                           "the connection was not established within the connect timeout");
        });
    this->socket.async_connect(endpoint,
                               [self = this->shared_from_this()](asio::error_code const& problem)
                               { self->on_connected(problem); });
}

void client_connection::on_connected(asio::error_code const& problem)
{
    this->connect_timer.cancel();
    if (this->is_closed)
        return;
    if (problem)
        return this->fail(call_failure::not_sent, problem.message());
    this->is_connected = true;
    configure_socket(this->socket, this->options.unacknowledged_timeout);
    this->send_request();
}

void client_connection::send_request()
{
    this->has_started_sending = true;
    std::array<asio::const_buffer, 2> buffers{asio::buffer(*this->request)};
    if (this->request_body)
        buffers[1] = asio::buffer(*this->request_body);
    asio::async_write(this->socket, buffers,
                      [self = this->shared_from_this(), sent_request = this->request,
                       sent_body = this->request_body](asio::error_code const& problem, std::size_t)
                      {
                          // A failed write is reported by the read that is in progress.
                          if (problem || self->request != sent_request)
                              return;
                          self->has_sent_request = true;
                          self->request_body.reset();
                      });
    if (this->options.response_timeout > duration(0))
        this->set_response_timer(this->options.response_timeout,
                                 "the response was not complete within the response timeout");
    this->read();
}

void client_connection::set_response_timer(duration delay, std::string const& reason)
{
    this->response_timer.expires_after(delay);
    this->response_timer.async_wait(
        [weak = this->weak_from_this(), timed_request = this->request,
         reason](asio::error_code const& problem)
        {
            auto const self = weak.lock();
            if (!problem && self && self->request == timed_request)
                self->fail(self->current_failure(), reason);
        });
}

void client_connection::drain(std::function<void()> done)
{
    this->is_draining = true;
    this->set_response_timer(drain_timeout, "the discarded response did not end in time");
    asio::post(this->socket.get_executor(), std::move(done));
}

std::string client_connection::exceeded_limit() const
{
    if (this->has_invalid_status)
        return "the status of the response is outside 100 to 599";
    if (!this->has_response_head && this->bytes_before_response > max_bytes_before_response)
        return "no response head within " + std::to_string(this->bytes_before_response) + " bytes";
    if (this->skipped_responses > max_skipped_responses)
        return "no response after " + std::to_string(this->skipped_responses) +
               " interim responses or responses to other requests";
    if (this->discarded_bytes > max_discarded_bytes)
        return "the discarded response exceeds " + std::to_string(max_discarded_bytes) + " bytes";
    return {};
}

void client_connection::prepare_parser()
{
    this->is_skipping = false;
    this->has_invalid_status = false;
    this->parser = std::make_unique<response_parser>(
        [this](response_head const& head)
        {
            this->has_invalid_status =
                head.status < first_interim_status || head.status > last_final_status;
            this->is_skipping = this->has_invalid_status || head.status < first_final_status;
            // The observer may cancel the call, which resets this->observer.
            auto const receiver = this->observer;
            if (this->is_skipping || !receiver)
                return;
            this->is_skipping = receiver->on_head(head) == head_action::skip;
            this->has_response_head = !this->is_skipping;
            this->reuse_period = this->reuse_period_after(head);
        },
        [this](std::string_view bytes)
        {
            auto const receiver = this->observer;
            if (!this->is_skipping && receiver)
                receiver->on_body(bytes);
        },
        this->is_head_request);
}

duration client_connection::reuse_period_after(response_head const& head) const
{
    auto const* keep_alive = head.headers.find("Keep-Alive");
    if (keep_alive == nullptr)
        return this->options.default_idle_time;
    auto const timeout_position = keep_alive->find("timeout=");
    if (timeout_position == std::string::npos)
        return this->options.default_idle_time;
    auto const value_start = timeout_position + std::string_view("timeout=").size();
    auto const value =
        parse_number(std::string_view(*keep_alive)
                         .substr(value_start, keep_alive->find(',', value_start) - value_start));
    if (!value)
        return this->options.default_idle_time;
    return from_seconds(static_cast<double>(*value) * this->options.reused_idle_fraction);
}

void client_connection::read()
{
    if (this->is_reading || this->is_closed || this->is_paused)
        return;
    this->is_reading = true;
    this->socket.async_read_some(
        asio::buffer(this->read_buffer),
        [self = this->shared_from_this()](asio::error_code const& problem, std::size_t count)
        {
            self->is_reading = false;
            self->on_read(problem, count);
        });
}

void client_connection::on_read(asio::error_code const& problem, std::size_t count)
{
    if (this->is_closed)
        return;
    if (problem == asio::error::eof)
        return this->on_connection_end("the connection was closed");
    if (problem)
        return this->fail(this->current_failure(), problem.message());
    // Data on an idle connection belongs to no request.
    if (!this->observer)
        return this->close();
    if (!this->has_response_head)
        this->bytes_before_response += count;
    if (this->is_draining)
        this->discarded_bytes += count;
    this->input.append(this->read_buffer.data(), count);
    this->process_input();
    this->read();
}

void client_connection::process_input()
{
    while (!this->input.empty() && this->observer && !this->is_closed)
    {
        std::optional<parse_problem> problem;
        this->is_parsing = true;
        auto const used = this->parser->put(this->input, problem);
        this->is_parsing = false;
        this->input.erase(0, used);
        if (this->is_closed)
            return;
        if (problem)
            return this->fail(this->current_failure(), problem->reason);
        auto const exceeded = this->exceeded_limit();
        if (!exceeded.empty())
            return this->fail(this->current_failure(), exceeded);
        if (!this->parser->is_done())
            return;
        this->on_message_end();
    }
}

void client_connection::on_connection_end(std::string const& reason)
{
    if (!this->observer)
        return this->close();
    if (!this->parser->has_started())
        return this->fail(this->current_failure(), reason);
    std::optional<parse_problem> problem;
    this->parser->put_end(problem);
    if (problem)
        return this->fail(this->current_failure(), reason);
    if (this->is_skipping)
        return this->fail(call_failure::no_response, reason);
    // A write that fails consumes the socket's error, such as a reset, and the next read reports an
    // ordinary end. The response is complete only if the request was written completely.
    if (!this->has_sent_request)
        return this->fail(this->current_failure(),
                          "the connection ended before the request was sent completely");
    auto const receiver = std::exchange(this->observer, nullptr);
    this->close();
    receiver->on_end();
}

void client_connection::on_message_end()
{
    if (this->is_skipping)
    {
        ++this->skipped_responses;
        if (!this->parser->keeps_alive())
            return this->fail(
                call_failure::no_response,
                "the server closes the connection after a response to another request");
        return this->prepare_parser();
    }
    // The connection cannot be reused if bytes follow the response or the request was not sent
    // completely.
    bool const is_reusable = this->parser->keeps_alive() && this->has_sent_request &&
                             this->input.empty() && !this->is_closed;
    auto const receiver = std::exchange(this->observer, nullptr);
    this->request.reset();
    this->request_body.reset();
    this->response_timer.cancel();
    if (!is_reusable)
    {
        this->close();
    }
    else
    {
        this->reuse_until = this->time.now() + this->reuse_period;
        if (auto const owning_pool = this->pool.lock())
            owning_pool->add_idle(this->shared_from_this());
        else
            this->close();
    }
    receiver->on_end();
}

call_failure client_connection::current_failure() const
{
    if (!this->has_started_sending)
        return call_failure::not_sent;
    return this->has_response_head ? call_failure::broken_response : call_failure::no_response;
}

void client_connection::fail(call_failure failure, std::string const& reason)
{
    auto const receiver = std::exchange(this->observer, nullptr);
    this->close();
    if (receiver)
        receiver->on_failure(failure, reason);
}

void client_connection::close()
{
    if (this->is_closed)
        return;
    this->is_closed = true;
    this->observer.reset();
    this->request_body.reset();
    this->connect_timer.cancel();
    this->response_timer.cancel();
    asio::error_code ignored;
    this->socket.close(ignored);
    if (auto const owning_pool = this->pool.lock())
        owning_pool->remove(*this);
}

void client_connection::pause()
{
    this->is_paused = true;
}

void client_connection::resume()
{
    this->is_paused = false;
    if (!this->is_parsing)
        this->read();
}

} // namespace lagoonladder::http
