#ifndef LAGOONLADDER_HTTP_SERVER_CONNECTION_HPP
#define LAGOONLADDER_HTTP_SERVER_CONNECTION_HPP

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <asio.hpp>

#include <lagoonladder/http/server.hpp>

#include "message_parser.hpp"

namespace lagoonladder::http
{

/// State that is shared by all connections of a server.
struct server_context
{
    server_options options;
    request_handler& handler;
    std::function<connection_limits()> limits;
    event_sink& events;
    clock const& time;
    /// Each connection is closed after its next response.
    bool closes_after_responses = false;
    /// Requests that become complete from now on are answered with 503.
    bool refuses_requests = false;
    std::size_t open_connections = 0;
    /// Receives the bytes of one read before they are parsed. Connections share it, since each
    /// processes all bytes of a read before the next read of any connection.
    std::array<char, 64 * 1024> read_buffer{};
};

/// An accepted connection. Reads one request after the other and writes the responses.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    /// `over_limit`: the first request is rejected, since too many connections are open.
    server_connection(asio::ip::tcp::socket accepted,
                      std::shared_ptr<server_context> shared_context, bool over_limit);
    ~server_connection();

    server_connection(server_connection const&) = delete;
    server_connection& operator=(server_connection const&) = delete;

    void start();
    void close();
    bool is_closed() const { return this->state == phase::closed; }
    /// Whether a request is being read or handled, or its response written.
    bool is_busy() const
    {
        return this->state == phase::reading || this->state == phase::handling ||
               this->state == phase::finishing;
    }
    /// Closes the connection gracefully if it is idle and no request has arrived.
    void close_idle();
    /// Responds with 503 to a request that has been received only in part.
    void refuse_incomplete();
    /// When the connection began to wait for bytes of its first request, or of a request that is
    /// not complete. No value for a connection that is of use to its caller.
    std::optional<time_point> waiting_since() const;
    /// Closes the connection, which no longer counts towards the limit.
    void give_way();

    // Functions used by the exchange of the current request.
    /// The received request, which is moved out of the connection once.
    request_head take_head();
    std::string take_body();
    std::unique_ptr<request_memory::holding> take_memory();
    time_point arrived() const { return this->request_arrival; }
    /// Whether a caller that waits for `patience` at most may have given up the current request.
    bool may_be_abandoned(duration patience);
    std::string const& remote_address() const { return this->remote_ip; }
    void respond(response_head head, std::string_view content);
    void begin(response_head head, std::optional<std::uint64_t> length);
    void write(std::string_view bytes);
    void finish();
    std::size_t unsent_bytes() const
    {
        return this->queued_output.size() + this->output_in_progress.size() - this->written_bytes;
    }

    std::function<void()> closed_handler;
    std::function<void()> drained_handler;

private:
    enum class phase
    {
        idle,
        reading,
        /// The request was passed to the handler.
        handling,
        /// The response is complete, but not all of it is written yet.
        finishing,
        /// All data is written and further bytes from the caller are discarded.
        lingering,
        closed
    };

    /// Whether the caller's close has arrived behind all bytes that were read.
    bool is_closed_by_caller();
    void read();
    void on_readable();
    void on_read(std::string_view bytes);
    void on_read_cancelled();
    void on_read_end();
    void process_input();
    /// Parses bytes from the front of `bytes` and returns how many it used. The others are to be
    /// kept for later.
    std::size_t parse(std::string_view bytes);
    void begin_request();
    /// Reserves memory for `incoming` further bytes of the request. Returns false when the budget
    /// has no room for them.
    bool reserve(std::size_t incoming);
    /// Refuses the request, since the budget has no room or is needed for other requests.
    void refuse_for_memory();
    /// Returns a function that refuses the request with that number on the event loop.
    std::function<void()> make_refusal(std::uint64_t number);
    /// Counts unsent output, and bytes that were read ahead of a request in progress.
    void count_buffers();
    /// Closes the connection, whose buffers are needed for other requests.
    void close_for_memory();
    void dispatch();
    void reject(parse_problem const& problem);
    void add_connection_field(response_head& head);
    void flush();
    void write_output();
    void on_written();
    void complete_response();
    void begin_next_request();
    void linger();
    void set_timer(duration delay);
    void on_timer();
    void start_idle_timer();
    /// Uses the current limit, which may have been raised while the connection was idle.
    time_point idle_deadline() const;

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::shared_ptr<server_context> context;
    phase state = phase::idle;
    time_point accepted_at{};
    time_point idle_since{};
    std::unique_ptr<request_parser> parser;
    /// Memory of the request that is being read.
    std::unique_ptr<request_memory::holding> request_holding;
    /// Number of requests that were begun on the connection.
    std::uint64_t request_count = 0;
    /// Memory of the output and of the bytes that were read ahead.
    std::unique_ptr<request_memory::holding> buffer_holding;
    /// Size of `buffer_holding`.
    std::size_t counted_buffers = 0;
    std::string input;
    std::string queued_output;
    std::string output_in_progress;
    /// Bytes of `output_in_progress` that have been written to the socket.
    std::size_t written_bytes = 0;
    time_point request_arrival{};
    std::string remote_ip;
    /// Limit for the request that is being read.
    std::uint64_t max_body_bytes = 0;
    bool const is_over_limit;
    /// Counted in the open connections of the server.
    bool is_counted = true;
    time_point last_received{};
    /// The response to a HEAD request has no body, even if it has a Content-Length.
    bool omits_body = false;
    bool is_reading = false;
    bool is_chunked = false;
    bool closes_after_response = false;
};

} // namespace lagoonladder::http

#endif
