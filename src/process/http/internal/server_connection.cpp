#include "server_connection.hpp"

#include <algorithm>

#include "connection_exchange.hpp"
#include "socket_options.hpp"

namespace lagoonladder::http
{

namespace
{

/// Maximum number of bytes read ahead of the current request. The connection is read during a
/// request so that a close by the caller is noticed.
constexpr std::size_t max_read_ahead = 4 * 1024;
/// The budget counts buffers in steps of this size.
constexpr std::size_t counted_step = 4 * 1024;
/// Memory of a request beside its head and body.
constexpr std::size_t request_overhead = 1024;
/// The connection is considered broken if the caller does not acknowledge sent data for this long.
constexpr duration unacknowledged_timeout = seconds(10);
/// Retry-After of refusals, in seconds, unless the handler sets another.
constexpr char const* retry_after = "1";
/// How long bytes from the caller are still read before the connection is closed.
constexpr duration linger_time = seconds(1);
/// Added to the idle timeout, since callers may send until the very end of it.
constexpr duration idle_timeout_margin = seconds(1);

/// Gives the text exactly this capacity if it has less. reserve() of a text that is not empty may
/// double its capacity instead.
void set_capacity(std::string& text, std::size_t capacity)
{
    if (capacity <= text.capacity())
        return;
    std::string larger;
    larger.reserve(capacity);
    larger += text;
    text.swap(larger);
}

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
    if (this->is_counted)
        --this->context->open_connections;
}

void server_connection::start()
{
    configure_socket(this->socket, unacknowledged_timeout);
    asio::error_code problem;
    this->socket.non_blocking(true, problem);
    auto const peer = this->socket.remote_endpoint(problem);
    if (!problem)
        this->remote_ip = peer.address().to_string();
    this->start_idle_timer();
    this->accepted_at = this->idle_since;
    this->last_received = this->idle_since;
    this->read();
}

bool server_connection::is_closed_by_caller()
{
    char next = 0;
    asio::error_code problem;
    this->socket.receive(asio::buffer(&next, 1), asio::socket_base::message_peek, problem);
    return problem == asio::error::eof || problem == asio::error::connection_reset;
}

bool server_connection::may_be_abandoned(duration patience)
{
    if (this->state == phase::closed || this->is_closed_by_caller())
        return true;
    bool const is_first_request = this->request_count == 1;
    return is_first_request && this->context->time.now() - this->accepted_at > patience;
}

request_head server_connection::take_head()
{
    return std::move(this->parser->head());
}

std::string server_connection::take_body()
{
    return std::move(this->parser->body());
}

std::unique_ptr<request_memory::holding> server_connection::take_memory()
{
    return std::move(this->request_holding);
}

void server_connection::read()
{
    bool const reads_ahead = this->state == phase::handling || this->state == phase::finishing;
    bool const has_read_ahead = reads_ahead && this->input.size() >= max_read_ahead;
    if (this->is_reading || this->state == phase::closed || has_read_ahead)
        return;
    this->is_reading = true;
    this->socket.async_wait(asio::socket_base::wait_read,
                            [self = this->shared_from_this()](asio::error_code const& problem)
                            {
                                self->is_reading = false;
                                if (self->state == phase::closed)
                                    return;
                                if (problem == asio::error::operation_aborted &&
                                    self->context->refuses_requests)
                                    self->on_read_cancelled();
                                else if (problem)
                                    self->on_read_end();
                                else
                                    self->on_readable();
                            });
}

void server_connection::on_readable()
{
    auto& buffer = this->context->read_buffer;
    auto max_count = buffer.size();
    if (this->state == phase::handling || this->state == phase::finishing)
        max_count = max_read_ahead - std::min(max_read_ahead, this->input.size());
    if (max_count == 0)
        return;
    asio::error_code problem;
    auto const count = this->socket.read_some(asio::buffer(buffer.data(), max_count), problem);
    if (problem == asio::error::would_block || problem == asio::error::interrupted)
        return this->read();
    if (problem)
        return this->on_read_end();
    this->on_read({buffer.data(), count});
}

void server_connection::on_read(std::string_view bytes)
{
    if (this->state == phase::lingering)
        return this->read();
    this->last_received = this->context->time.now();
    if (this->state == phase::reading)
        this->request_holding->record_progress(this->last_received, bytes.size());
    bool const is_parsed = this->state == phase::idle || this->state == phase::reading;
    // Bytes of a body are parsed where they were read, without a copy in between.
    if (is_parsed && this->input.empty())
    {
        auto const used = this->parse(bytes);
        this->input.append(bytes.substr(used));
    }
    else
    {
        this->input.append(bytes);
        this->process_input();
    }
    this->count_buffers();
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
    this->parser.reset();
    this->request_holding.reset();
    this->buffer_holding.reset();
    this->input = {};
    this->queued_output = {};
    if (auto const handler = std::exchange(this->closed_handler, {}))
        handler();
}

void server_connection::process_input()
{
    if (this->state != phase::idle && this->state != phase::reading)
        return;
    auto const bytes = std::exchange(this->input, {});
    auto const used = this->parse(bytes);
    this->input.append(bytes, used);
}

void server_connection::begin_request()
{
    auto const limits = this->context->limits();
    this->state = phase::reading;
    this->request_arrival = this->context->time.now();
    this->parser = std::make_unique<request_parser>(limits);
    this->max_body_bytes = limits.max_body_bytes;
    this->request_holding = this->context->options.memory->open(
        this->request_arrival, this->make_refusal(++this->request_count));
    this->set_timer(limits.header_timeout);
}

std::function<void()> server_connection::make_refusal(std::uint64_t number)
{
    return [weak = this->weak_from_this(), executor = this->socket.get_executor(), number]
    {
        asio::dispatch(executor,
                       [weak, number]
                       {
                           auto const self = weak.lock();
                           if (self && self->state == phase::reading &&
                               self->request_count == number)
                               self->refuse_for_memory();
                       });
    };
}

bool server_connection::reserve(std::size_t incoming)
{
    auto const now = this->context->time.now();
    if (!this->parser->has_head())
        return this->request_holding->resize(now, request_overhead + incoming);
    auto& body = this->parser->body();
    auto required = std::max(body.capacity(), body.size() + incoming);
    auto capacity = required;
    if (auto const length = this->parser->content_length())
        required = capacity = std::max(body.capacity(), static_cast<std::size_t>(*length));
    else if (required > body.capacity())
        // A part of the incoming bytes may be no part of the body.
        capacity = std::clamp<std::size_t>(body.capacity() + body.capacity() / 2, required,
                                           std::max(required, this->max_body_bytes));
    auto const head_bytes = request_overhead + this->parser->head_memory();
    if (!this->request_holding->resize(now, head_bytes + capacity))
    {
        // The body may still fit without room to grow.
        capacity = required;
        if (!this->request_holding->resize(now, head_bytes + capacity))
            return false;
    }
    set_capacity(body, capacity);
    return true;
}

void server_connection::refuse_for_memory()
{
    this->reject({503, "the memory for requests is in use; the request was not executed"});
}

void server_connection::count_buffers()
{
    if (this->state == phase::closed)
        return;
    bool const reads_ahead = this->state == phase::handling || this->state == phase::finishing;
    auto const bytes = this->queued_output.capacity() + this->output_in_progress.capacity() +
                       (reads_ahead ? this->input.capacity() : 0);
    auto const counted = bytes / counted_step * counted_step;
    if (counted == this->counted_buffers)
        return;
    this->counted_buffers = counted;
    if (counted == 0)
        return this->buffer_holding.reset();
    auto const now = this->context->time.now();
    if (!this->buffer_holding)
        this->buffer_holding = this->context->options.memory->open(
            now,
            [weak = this->weak_from_this(), executor = this->socket.get_executor()]
            {
                // Posted, since a handler may be writing to this connection.
                asio::post(executor,
                           [weak]
                           {
                               if (auto const self = weak.lock())
                                   self->close_for_memory();
                           });
            });
    this->buffer_holding->resize_used(now, counted);
}

void server_connection::close_for_memory()
{
    if (this->state == phase::closed || !this->buffer_holding)
        return;
    this->context->events.emit(severity::warning, "http.connection_closed",
                               {{"server", this->context->options.name},
                                {"reason", "the memory for requests is in use"},
                                {"unsent_bytes", std::to_string(this->unsent_bytes())}});
    this->close();
}

std::size_t server_connection::parse(std::string_view bytes)
{
    if (bytes.empty())
        return 0;
    if (this->state == phase::idle)
        this->begin_request();
    bool const had_head = this->parser->has_head();
    if (!this->reserve(bytes.size()))
    {
        this->refuse_for_memory();
        return bytes.size();
    }
    std::optional<parse_problem> problem;
    auto const used = this->parser->put(bytes, problem);
    if (problem)
    {
        this->reject(*problem);
        return bytes.size();
    }
    if (this->parser->is_done())
    {
        this->dispatch();
        return used;
    }
    if (!this->parser->has_head())
        return used;
    // Within a body, the request times out only if no bytes arrive.
    this->set_timer(this->context->limits().idle_timeout);
    if (had_head)
        return used;
    if (!this->reserve(0))
    {
        this->refuse_for_memory();
        return bytes.size();
    }
    if (this->parser->expects_continue())
    {
        this->queued_output += "HTTP/1.1 100 Continue\r\n\r\n";
        this->flush();
    }
    return used;
}

void server_connection::dispatch()
{
    this->timer.cancel();
    if (!this->request_holding->pin())
        return this->refuse_for_memory();
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
    this->parser.reset();
    this->request_holding.reset();
    this->input = {};
    response_head head{problem.status, {}, {}};
    if (problem.status == 503)
        head.headers.set("Retry-After", retry_after);
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
    if (this->state == phase::closed)
        return;
    if (!this->output_in_progress.empty() || this->queued_output.empty())
        return this->count_buffers();
    this->output_in_progress.swap(this->queued_output);
    this->count_buffers();
    this->write_output();
}

void server_connection::write_output()
{
    auto const rest = asio::buffer(this->output_in_progress) + this->written_bytes;
    this->socket.async_write_some(
        rest,
        [self = this->shared_from_this()](asio::error_code const& problem, std::size_t count)
        {
            if (problem)
                return self->close();
            if (self->state == phase::closed)
                return;
            self->written_bytes += count;
            if (self->buffer_holding)
                self->buffer_holding->record_progress(self->context->time.now(), count);
            if (self->written_bytes < self->output_in_progress.size())
                return self->write_output();
            self->written_bytes = 0;
            // The buffer of a large response is not kept for later ones.
            self->output_in_progress = {};
            self->count_buffers();
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
    this->count_buffers();
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

std::optional<time_point> server_connection::waiting_since() const
{
    bool const is_unused = this->state == phase::idle && this->request_count == 0;
    if (this->state == phase::reading || is_unused)
        return this->last_received;
    return std::nullopt;
}

void server_connection::give_way()
{
    this->is_counted = false;
    --this->context->open_connections;
    this->close();
}

void server_connection::linger()
{
    // Closing a socket with unread bytes would reset the connection, and the caller could lose the
    // response.
    this->state = phase::lingering;
    asio::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->set_timer(linger_time);
    this->input = {};
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
