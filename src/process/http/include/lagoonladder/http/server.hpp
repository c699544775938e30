#ifndef LAGOONLADDER_HTTP_SERVER_HPP
#define LAGOONLADDER_HTTP_SERVER_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <asio.hpp>

#include <lagoonladder/http/message.hpp>

namespace lagoonladder::http
{

/// One received request and its answer. Calls after the end of the answer, or after the
/// caller has gone, have no effect. Used on the event loop only.
class server_exchange
{
public:
    virtual ~server_exchange() = default;

    virtual request_head const& head() const = 0;
    virtual std::string const& body() const = 0;
    /// When the first byte of the request was read.
    virtual time_point arrived() const = 0;
    /// Address of the caller's end of the connection.
    virtual std::string const& remote_address() const = 0;

    /// The whole answer.
    virtual void respond(response_head head, std::string_view body) = 0;
    /// Head of an answer whose body follows in parts; without a length it is chunked.
    virtual void begin(response_head head, std::optional<std::uint64_t> length) = 0;
    virtual void write(std::string_view bytes) = 0;
    virtual void finish() = 0;
    /// Ends the connection, so that the answer is visibly incomplete.
    virtual void abort() = 0;

    /// Bytes of the answer that the socket has not taken yet.
    virtual std::size_t unsent_bytes() const = 0;
    /// Called once when the caller has closed the connection before the end of the answer.
    virtual void on_closed(std::function<void()> handler) = 0;
    /// Called each time all bytes so far were taken by the socket.
    virtual void on_drained(std::function<void()> handler) = 0;
};

class request_handler
{
public:
    virtual ~request_handler() = default;

    /// A request has arrived whole.
    virtual void handle(std::shared_ptr<server_exchange> const& exchange) = 0;

    /// Body of the answer to a request that is not handled; may add fields to its head.
    virtual std::string rejection_body(response_head& head, std::string const& reason)
    {
        static_cast<void>(head);
        return reason;
    }
};

/// Bounds on what a caller may send.
struct connection_limits
{
    std::uint64_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 4 * 1024 * 1024;
    /// From the first byte of a request to the end of its head.
    duration header_timeout = seconds(3);
    /// Without a byte, between requests and within a body.
    duration idle_timeout = seconds(15);
};

struct server_options
{
    network_address address;
    std::size_t max_connections = 2000;
    /// Name in the log.
    std::string name;
    /// Connections beyond the maximum whose first request is answered with 503; further
    /// ones are closed.
    std::size_t refused_connections = 0;
};

/// Accepts connections at one address and reads requests from them.
class server
{
public:
    /// `limits` is asked for each request, since they may change.
    server(asio::io_context& context, server_options options, request_handler& handler,
           std::function<connection_limits()> limits, event_sink& events, clock const& time);
    ~server();

    /// Throws http_error when the address cannot be listened on.
    void start();

    /// The address with the port that the kernel chose for port 0; valid after start().
    network_address address() const;

    /// Connections end after their next answer; new ones are still accepted.
    void close_after_answers();

    /// Accepts no connection any more, closes idle ones and answers requests that become
    /// complete from now on with 503. Requests that were handled before get their answers.
    /// To be called on the event loop, as refuse_incomplete().
    void drain();

    /// Answers requests of which only a part has arrived with 503.
    void refuse_incomplete();

    /// After drain(): every answer has been written and every connection is closed. May be
    /// called on any thread.
    bool is_drained() const;

    /// Closes all connections. To be called on the event loop.
    void stop();

    std::size_t open_connections() const;

private:
    class implementation;
    std::shared_ptr<implementation> state;
};

} // namespace lagoonladder::http

#endif
