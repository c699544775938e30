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

/// What the connections of one server share.
struct server_context
{
    server_options options;
    request_handler& handler;
    std::function<connection_limits()> limits;
    event_sink& events;
    clock const& time;
    /// Connections end after their next answer.
    bool closes_after_answers = false;
    /// Requests that are complete from now on are answered with 503.
    bool refuses_requests = false;
    std::size_t open_connections = 0;
};

/// One accepted connection: reads requests one after the other and writes their answers.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    /// `over_limit`: the first request is refused, since too many connections are open.
    server_connection(asio::ip::tcp::socket accepted, std::shared_ptr<server_context> shared,
                      bool over_limit);
    ~server_connection();

    server_connection(server_connection const&) = delete;
    server_connection& operator=(server_connection const&) = delete;

    void start();
    void close();
    bool is_closed() const { return this->state == phase::closed; }
    /// A request is being read, handled or answered.
    bool is_busy() const
    {
        return this->state == phase::reading || this->state == phase::handling ||
               this->state == phase::finishing;
    }
    /// Closes the connection in an orderly way unless a request has arrived.
    void close_idle();
    /// Answers a request of which only a part has arrived with 503.
    void refuse_incomplete();

    // For the exchange of the current request.
    request_head const& head();
    std::string const& body();
    time_point arrived() const { return this->request_began; }
    std::string const& remote_address() const { return this->remote; }
    void respond(response_head head, std::string_view content);
    void begin(response_head head, std::optional<std::uint64_t> length);
    void write(std::string_view bytes);
    void finish();
    std::size_t unsent_bytes() const { return this->pending.size() + this->writing.size(); }

    std::function<void()> closed_handler;
    std::function<void()> drained_handler;

private:
    enum class phase
    {
        idle,
        reading,
        /// The handler has the request.
        handling,
        /// The answer is complete but not yet written; nothing more is read.
        finishing,
        /// All is written; rest of the caller's bytes is dropped.
        lingering,
        closed
    };

    void read();
    void on_read(std::size_t count);
    void on_read_cancelled();
    void on_read_end();
    void take_input();
    void dispatch();
    void reject(parse_problem const& problem);
    void add_connection_field(response_head& head);
    void flush();
    void on_written();
    void answer_complete();
    void next_request();
    void linger();
    void set_timer(duration span);
    void on_timer();
    void wait_idle();
    /// By the newest limit: it may have become longer while the connection was idle.
    time_point idle_end() const;

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::shared_ptr<server_context> context;
    phase state = phase::idle;
    time_point idle_since{};
    std::unique_ptr<request_parser> parser;
    std::array<char, 8192> chunk{};
    std::string input;
    std::string pending;
    std::string writing;
    time_point request_began{};
    std::string remote;
    bool const is_over_limit;
    /// The answer to a HEAD request has no body, whatever its length field says.
    bool has_no_body = false;
    bool reads = false;
    bool is_chunked = false;
    bool closes = false;
};

} // namespace lagoonladder::http

#endif
