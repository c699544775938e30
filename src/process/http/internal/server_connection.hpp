#ifndef LAGOONLADDER_HTTP_SERVER_CONNECTION_HPP
#define LAGOONLADDER_HTTP_SERVER_CONNECTION_HPP

#include <array>
#include <functional>
#include <memory>
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

    // Functions used by the exchange of the current request.
    request_head const& head();
    std::string const& body();
    time_point arrived() const { return this->request_arrival; }
    std::string const& remote_address() const { return this->remote_ip; }
    void respond(response_head head, std::string_view content);
    void begin(response_head head, std::optional<std::uint64_t> length);
    void write(std::string_view bytes);
    void finish();
    std::size_t unsent_bytes() const
    {
        return this->queued_output.size() + this->output_in_progress.size();
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

    void read();
    void on_read(std::size_t count);
    void on_read_cancelled();
    void on_read_end();
    void process_input();
    void dispatch();
    void reject(parse_problem const& problem);
    void add_connection_field(response_head& head);
    void flush();
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
    time_point idle_since{};
    std::unique_ptr<request_parser> parser;
    std::array<char, 8192> read_buffer{};
    std::string input;
    std::string queued_output;
    std::string output_in_progress;
    time_point request_arrival{};
    std::string remote_ip;
    bool const is_over_limit;
    /// The response to a HEAD request has no body, even if it has a Content-Length.
    bool omits_body = false;
    bool is_reading = false;
    bool is_chunked = false;
    bool closes_after_response = false;
};

} // namespace lagoonladder::http

#endif
