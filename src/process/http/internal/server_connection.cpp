#include "server_connection.hpp"

#include "connection_exchange.hpp"
#include "socket_options.hpp"

namespace lagoonladder::http
{

namespace
{

/// Bytes behind the current request that are read ahead; reading on shows a close by the caller.
constexpr std::size_t max_read_ahead = 16 * 1024;
/// A caller that acknowledges nothing for this long is gone.
constexpr duration unacknowledged_timeout = seconds(10);
constexpr duration linger_time = seconds(1);
/// Callers may send until the very end of the idle time.
constexpr duration idle_allowance = seconds(1);

} // namespace

server_connection::server_connection(asio::ip::tcp::socket accepted,
                                     std::shared_ptr<server_context> shared, bool over_limit)
    : socket(std::move(accepted))
    , timer(socket.get_executor())
    , context(std::move(shared))
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
    asio::error_code is_gone;
    auto const peer = this->socket.remote_endpoint(is_gone);
    if (!is_gone)
        this->remote = peer.address().to_string();
    this->wait_idle();
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
    if (this->reads || this->state == phase::closed || this->input.size() > max_read_ahead)
        return;
    this->reads = true;
    this->socket.async_read_some(
        asio::buffer(this->chunk),
        [self = this->shared_from_this()](asio::error_code const& problem, std::size_t count)
        {
            self->reads = false;
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
    this->input.append(this->chunk.data(), count);
    if (this->state == phase::idle || this->state == phase::reading)
        this->take_input();
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
    // The rest of an answer may still be on its way to a caller that closed one direction.
    if (this->state == phase::finishing)
    {
        this->closes = true;
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

void server_connection::take_input()
{
    if (this->input.empty())
        return;
    if (this->state == phase::idle)
    {
        this->state = phase::reading;
        this->request_began = this->context->time.now();
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
    // Within a body only silence ends the request.
    this->set_timer(this->context->limits().idle_timeout);
    if (!had_head && this->parser->expects_continue())
    {
        this->pending += "HTTP/1.1 100 Continue\r\n\r\n";
        this->flush();
    }
}

void server_connection::dispatch()
{
    this->timer.cancel();
    if (this->is_over_limit)
        return this->reject({503, "this entry has no free connection"});
    if (this->context->refuses_requests)
        return this->reject({503, "this entry is stopping; the request was not run"});
    this->state = phase::handling;
    this->closes = !this->parser->keeps_alive();
    this->has_no_body = this->parser->head().method == "HEAD";
    auto const current = std::make_shared<connection_exchange>(this->shared_from_this());
    this->parser.reset();
    this->context->handler.handle(current);
}

void server_connection::reject(parse_problem const& problem)
{
    this->context->events.emit(severity::warning, "http.request_rejected",
                               {{"server", this->context->options.name},
                                {"status", std::to_string(problem.status)},
                                {"reason", problem.reason}});
    this->closes = true;
    this->state = phase::handling;
    response_head head{problem.status, {}, {}};
    auto const content = this->context->handler.rejection_body(head, problem.reason);
    this->respond(std::move(head), content);
}

void server_connection::add_connection_field(response_head& head)
{
    if (this->context->closes_after_answers)
        this->closes = true;
    if (this->closes)
        head.headers.set("Connection", "close");
}

void server_connection::respond(response_head head, std::string_view content)
{
    if (this->state != phase::handling)
        return;
    this->add_connection_field(head);
    head.headers.set("Content-Length", std::to_string(content.size()));
    this->pending += format_head(head);
    if (!this->has_no_body)
        this->pending += content;
    this->answer_complete();
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
    this->pending += format_head(head);
    this->flush();
}

void server_connection::write(std::string_view bytes)
{
    if (this->state != phase::handling || this->has_no_body)
        return;
    if (this->is_chunked)
        append_chunk(this->pending, bytes);
    else
        this->pending += bytes;
    this->flush();
}

void server_connection::finish()
{
    if (this->state != phase::handling)
        return;
    if (this->is_chunked && !this->has_no_body)
        this->pending += last_chunk;
    this->answer_complete();
}

void server_connection::answer_complete()
{
    this->state = phase::finishing;
    this->is_chunked = false;
    this->has_no_body = false;
    this->flush();
}

void server_connection::flush()
{
    if (!this->writing.empty() || this->pending.empty() || this->state == phase::closed)
        return;
    this->writing.swap(this->pending);
    asio::async_write(
        this->socket, asio::buffer(this->writing),
        [self = this->shared_from_this()](asio::error_code const& problem, std::size_t)
        {
            self->writing.clear();
            if (problem)
                return self->close();
            self->on_written();
        });
}

void server_connection::on_written()
{
    if (!this->pending.empty())
        return this->flush();
    if (this->state == phase::handling && this->drained_handler)
        return this->drained_handler();
    if (this->state != phase::finishing)
        return;
    if (this->closes)
        return this->linger();
    this->next_request();
}

void server_connection::next_request()
{
    this->state = phase::idle;
    this->wait_idle();
    this->take_input();
    this->read();
    if (this->context->refuses_requests)
        this->close_idle();
}

void server_connection::close_idle()
{
    if (this->state != phase::idle)
        return;
    asio::error_code ignored;
    // The read may have taken a request whose completion is still queued. Cancelling it
    // brings either those bytes or the certainty that there are none.
    if (this->reads)
    {
        this->socket.cancel(ignored);
        return;
    }
    // A request that the kernel has already received is read and refused.
    if (this->socket.available(ignored) == 0)
        return this->linger();
    this->read();
}

void server_connection::refuse_incomplete()
{
    if (this->state == phase::reading)
        this->reject({503, "this entry stops before the request is complete"});
}

void server_connection::linger()
{
    // Closing with unread bytes would reset the connection and drop the answer.
    this->state = phase::lingering;
    asio::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->set_timer(linger_time);
    this->input.clear();
    this->read();
}

void server_connection::set_timer(duration span)
{
    this->timer.expires_after(span);
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
    // A timer that was set again may already have queued its earlier call.
    if (this->timer.expiry() > std::chrono::steady_clock::now())
        return;
    if (this->state == phase::reading)
        return this->reject({408, "the request did not arrive in time"});
    if (this->state == phase::idle && this->context->time.now() < this->idle_end())
        return this->set_timer(this->idle_end() - this->context->time.now());
    if (this->state == phase::idle || this->state == phase::lingering)
        this->close();
}

void server_connection::wait_idle()
{
    this->idle_since = this->context->time.now();
    this->set_timer(this->idle_end() - this->idle_since);
}

time_point server_connection::idle_end() const
{
    return this->idle_since + this->context->limits().idle_timeout + idle_allowance;
}

} // namespace lagoonladder::http
