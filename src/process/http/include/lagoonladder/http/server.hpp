#ifndef LAGOONLADDER_HTTP_SERVER_HPP
#define LAGOONLADDER_HTTP_SERVER_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <asio.hpp>

#include <lagoonladder/http/message.hpp>
#include <lagoonladder/http/request_memory.hpp>

namespace lagoonladder::http
{

/// A received request and the response to it. Calls after the end of the response, or after the
/// caller has disconnected, have no effect. To be used on the event loop only.
class server_exchange
{
public:
    virtual ~server_exchange() = default;

    virtual request_head const& head() const = 0;
    virtual std::string const& body() const = 0;
    /// Time at which the first byte of the request was read.
    virtual time_point arrived() const = 0;
    /// Whether a caller that waits for `patience` at most may have given the request up: it has
    /// closed the connection, or opened it for this request longer ago than that.
    virtual bool may_be_abandoned(duration patience) const = 0;
    /// IP address of the caller's end of the connection.
    virtual std::string const& remote_address() const = 0;

    /// Sends a complete response.
    virtual void respond(response_head head, std::string_view body) = 0;
    /// Sends the head of a response whose body follows in calls of write(). The body is chunked if
    /// no length is given.
    virtual void begin(response_head head, std::optional<std::uint64_t> length) = 0;
    virtual void write(std::string_view bytes) = 0;
    virtual void finish() = 0;
    /// Closes the connection, so that the caller can detect that the response is incomplete.
    virtual void abort() = 0;

    /// Number of response bytes that have not been written to the socket yet.
    virtual std::size_t unsent_bytes() const = 0;
    /// Sets a handler that is called once if the connection is closed, other than by abort(),
    /// before the end of the response.
    virtual void on_closed(std::function<void()> handler) = 0;
    /// Sets a handler that is called each time all queued bytes have been written to the socket.
    virtual void on_drained(std::function<void()> handler) = 0;
};

class request_handler
{
public:
    virtual ~request_handler() = default;

    /// Called when a complete request has been received.
    virtual void handle(std::shared_ptr<server_exchange> const& exchange) = 0;

    /// Returns the body of the response to a request that the server itself rejects. May add fields
    /// to the head of that response.
    virtual std::string rejection_body(response_head& head, std::string const& reason)
    {
        static_cast<void>(head);
        return reason;
    }
};

/// Limits on the requests that a caller may send.
struct connection_limits
{
    std::uint64_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 4 * 1024 * 1024;
    /// Maximum time from the first byte of a request to the end of its head.
    duration header_timeout = seconds(3);
    /// Maximum time without a received byte, between requests and within a body.
    duration idle_timeout = seconds(15);
};

inline constexpr std::uint32_t default_socket_buffer_bytes = 64 * 1024;

struct server_options
{
    network_address address;
    std::size_t max_connections = 2000;
    /// Name of the server in logged events.
    std::string name;
    /// Number of connections beyond max_connections that are still accepted so that their first
    /// request can be answered with 503. Any further connections are closed at once.
    std::size_t max_refused_connections = 0;
    /// Budget that the server shares with others; nullptr for one of its own.
    std::shared_ptr<request_memory> memory = nullptr;
    /// Size of the kernel's receive and send buffer of each connection. Without it, the kernel lets
    /// the buffers grow to megabytes, which take up memory of the machine. The kernel doubles it.
    std::uint32_t socket_buffer_bytes = default_socket_buffer_bytes;
};

/// HTTP server on one address.
class server
{
public:
    /// `limits` is called for each request, since the limits may change at run time.
    server(asio::io_context& context, server_options options, request_handler& handler,
           std::function<connection_limits()> limits, event_sink& events, clock const& time);
    ~server();

    /// Throws http_error when the address cannot be listened on.
    void start();

    /// The address with the port that the kernel chose for port 0; valid after start().
    network_address address() const;

    /// Closes each connection after its next response. New connections are still accepted.
    void close_after_answers();

    /// Stops accepting connections, closes idle ones and responds with 503 to requests that become
    /// complete from now on. Requests that are already being handled still get their responses.
    /// To be called on the event loop.
    void drain();

    /// Responds with 503 to requests that have been received only in part. To be called on the
    /// event loop.
    void refuse_incomplete();

    /// Whether, after drain(), all responses have been written and all connections are closed.
    /// May be called on any thread.
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
