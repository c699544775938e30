#include "server_connection.hpp"

#include "connection_exchange.hpp"
#include "socket_options.hpp"

namespace lagoonladder::http
{

namespace
{

/// Maximum number of bytes read ahead of the current request. The connection is read during a
/// request so that a close by the caller is noticed.
constexpr std::size_t max_read_ahead = 16 * 1024;
/// The connection is considered broken if the caller does not acknowledge sent data for this long.
constexpr duration unacknowledged_timeout = seconds(10);
/// How long bytes from the caller are still read before the connection is closed.
constexpr duration linger_time = seconds(1);
/// Added to the idle timeout, since callers may send until the very end of it.
constexpr duration idle_timeout_margin = seconds(1);

} // namespace

server_connection::server_connection(asio::ip::tcp::socket accepted,
                                     std::shared_ptr<server_context> shared_context,
                                     bool over_limit)
    : socket(std::move(accepted))
    , timer(socket.get_executor())
    , context(std::move(shared_context))
    , is_over_limit(over_limit)
{
    ++this->context->open_connections;
}

server_connection::~server_connection()
{
    --this->context->open_connections;
}

void server_connection::start()
{
    configure_socket(this->socket, unacknowledged_timeout);
    asio::error_code problem;
    auto const peer = this->socket.remote_endpoint(problem);
    if (!problem)
        this->remote_ip = peer.address().to_string();
    this->start_idle_timer();
    this->read();
}

request_head const& server_connection::head()
{
    return this->parser->head();
}

std::string const& server_connection::body()
{
    return this->parser->body();
}

void server_connection::read()
{
    if (this->is_reading || this->state == phase::closed || this->input.size() > max_read_ahead)
        return;
    this->is_reading = true;
    this->socket.async_read_some(
        asio::buffer(this->read_buffer),
        [self = this->shared_from_this()](asio::error_code const& problem, std::size_t count)
        {
            self->is_reading = false;
            if (self->state == phase::closed)
                return;
            if (problem == asio::error::operation_aborted && self->context->refuses_requests)
                self->on_read_cancelled();
            else if (problem)
                self->on_read_end();
            else
                self->on_read(count);
        });
}

void server_connection::on_read(std::size_t count)
{
    if (this->state == phase::lingering)
        return this->read();
    this->input.append(this->read_buffer.data(), count);
    if (this->state == phase::idle || this->state == phase::reading)
        this->process_input();
    this->read();
}

void server_connection::on_read_cancelled()
{
    if (this->state == phase::idle)
        return this->close_idle();
    this->read();
}

void server_connection::on_read_end()
{
    // A caller that closed only its sending direction still receives the rest of the response.
    if (this->state == phase::finishing)
    {
        this->closes_after_response = true;
        return;
    }
    this->close();
}

void server_connection::close()
{
    if (this->state == phase::closed)
        return;
    this->state = phase::closed;
    this->timer.cancel();
    asio::error_code ignored;
    this->socket.close(ignored);
    this->drained_handler = {};
    if (auto const handler = std::exchange(this->closed_handler, {}))
        handler();
}

void server_connection::process_input()
{
    if (this->input.empty())
        return;
    if (this->state == phase::idle)
    {
        this->state = phase::reading;
        this->request_arrival = this->context->time.now();
        auto const limits = this->context->limits();
        this->parser = std::make_unique<request_parser>(limits);
        this->set_timer(limits.header_timeout);
    }
    bool const had_head = this->parser->has_head();
    std::optional<parse_problem> problem;
    auto const used = this->parser->put(this->input, problem);
    this->input.erase(0, used);
    if (problem)
        return this->reject(*problem);
    if (this->parser->is_done())
        return this->dispatch();
    if (!this->parser->has_head())
        return;
    // Within a body, the request times out only if no bytes arrive.
    this->set_timer(this->context->limits().idle_timeout);
    if (!had_head && this->parser->expects_continue())
    {
        this->queued_output += "HTTP/1.1 100 Continue\r\n\r\n";
        this->flush();
    }
}

void server_connection::dispatch()
{
    this->timer.cancel();
    if (this->is_over_limit)
        return this->reject({503, "this entry has too many open connections"});
    if (this->context->refuses_requests)
        return this->reject({503, "this entry is stopping; the request was not executed"});
    this->state = phase::handling;
    this->closes_after_response = !this->parser->keeps_alive();
    this->omits_body = this->parser->head().method == "HEAD";
    auto const exchange = std::make_shared<connection_exchange>(this->shared_from_this());
    this->parser.reset();
    this->context->handler.handle(exchange);
}

void server_connection::reject(parse_problem const& problem)
{
    this->context->events.emit(severity::warning, "http.request_rejected",
                               {{"server", this->context->options.name},
                                {"status", std::to_string(problem.status)},
                                {"reason", problem.reason}});
    this->closes_after_response = true;
    this->state = phase::handling;
    response_head head{problem.status, {}, {}};
    auto const content = this->context->handler.rejection_body(head, problem.reason);
    this->respond(std::move(head), content);
}

void server_connection::add_connection_field(response_head& head)
{
    if (this->context->closes_after_responses)
        this->closes_after_response = true;
    if (this->closes_after_response)
        head.headers.set("Connection", "close");
}

void server_connection::respond(response_head head, std::string_view content)
{
    if (this->state != phase::handling)
        return;
    this->add_connection_field(head);
    head.headers.set("Content-Length", std::to_string(content.size()));
    this->queued_output += format_head(head);
    if (!this->omits_body)
        this->queued_output += content;
    this->complete_response();
}

void server_connection::begin(response_head head, std::optional<std::uint64_t> length)
{
    if (this->state != phase::handling)
        return;
    this->add_connection_field(head);
    this->is_chunked = !length;
    if (length)
        head.headers.set("Content-Length", std::to_string(*length));
    else
        head.headers.set("Transfer-Encoding", "chunked");
    this->queued_output += format_head(head);
    this->flush();
}

void server_connection::write(std::string_view bytes)
{
    if (this->state != phase::handling || this->omits_body)
        return;
    if (this->is_chunked)
        append_chunk(this->queued_output, bytes);
    else
        this->queued_output += bytes;
    this->flush();
}

void server_connection::finish()
{
    if (this->state != phase::handling)
        return;
    if (this->is_chunked && !this->omits_body)
        this->queued_output += last_chunk;
    this->complete_response();
}

void server_connection::complete_response()
{
    this->state = phase::finishing;
    this->is_chunked = false;
    this->omits_body = false;
    this->flush();
}

void server_connection::flush()
{
    if (!this->output_in_progress.empty() || this->queued_output.empty() ||
        this->state == phase::closed)
        return;
    this->output_in_progress.swap(this->queued_output);
    asio::async_write(
        this->socket, asio::buffer(this->output_in_progress),
        [self = this->shared_from_this()](asio::error_code const& problem, std::size_t)
        {
            self->output_in_progress.clear();
            if (problem)
                return self->close();
            self->on_written();
        });
}

void server_connection::on_written()
{
    if (!this->queued_output.empty())
        return this->flush();
    if (this->state == phase::handling && this->drained_handler)
        return this->drained_handler();
    if (this->state != phase::finishing)
        return;
    if (this->closes_after_response)
        return this->linger();
    this->begin_next_request();
}

void server_connection::begin_next_request()
{
    this->state = phase::idle;
    this->start_idle_timer();
    this->process_input();
    this->read();
    if (this->context->refuses_requests)
        this->close_idle();
}

void server_connection::close_idle()
{
    if (this->state != phase::idle)
        return;
    asio::error_code ignored;
    // The read may already have received a request while its completion handler is still queued.
    // After the cancellation, the handler gets either those bytes or an error that shows that there
    // are none.
    if (this->is_reading)
    {
        this->socket.cancel(ignored);
        return;
    }
    // A request that is already in the receive buffer of the kernel is read and rejected.
    if (this->socket.available(ignored) == 0)
        return this->linger();
    this->read();
}

void server_connection::refuse_incomplete()
{
    if (this->state == phase::reading)
        this->reject({503, "this entry is stopping; the request was not received completely"});
}

void server_connection::linger()
{
    // Closing a socket with unread bytes would reset the connection, and the caller could lose the
    // response.
    this->state = phase::lingering;
    asio::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->set_timer(linger_time);
    this->input.clear();
    this->read();
}

void server_connection::set_timer(duration delay)
{
    this->timer.expires_after(delay);
    this->timer.async_wait(
        [weak = this->weak_from_this()](asio::error_code const& problem)
        {
            auto const self = weak.lock();
            if (!problem && self)
                self->on_timer();
        });
}

void server_connection::on_timer()
{
    // The handler of an earlier expiry may already be queued when the timer is set again.
    if (this->timer.expiry() > std::chrono::steady_clock::now())
        return;
    if (this->state == phase::reading)
        return this->reject({408, "the request was not received in time"});
    if (this->state == phase::idle && this->context->time.now() < this->idle_deadline())
        return this->set_timer(this->idle_deadline() - this->context->time.now());
    if (this->state == phase::idle || this->state == phase::lingering)
        this->close();
}

void server_connection::start_idle_timer()
{
    this->idle_since = this->context->time.now();
    this->set_timer(this->idle_deadline() - this->idle_since);
}

time_point server_connection::idle_deadline() const
{
    return this->idle_since + this->context->limits().idle_timeout + idle_timeout_margin;
}

} // namespace lagoonladder::http
