#ifndef LAGOONLADDER_HTTP_CLIENT_HPP
#define LAGOONLADDER_HTTP_CLIENT_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <asio.hpp>

#include <lagoonladder/http/message.hpp>

namespace lagoonladder::http
{

enum class call_failure
{
    /// No byte of the request was sent.
    not_sent,
    /// The connection was closed, or malformed HTTP was received, before the response head was
    /// complete.
    no_response,
    /// The response head was received, but the rest is incomplete or malformed.
    broken_response
};

char const* to_string(call_failure failure);

enum class head_action
{
    accept,
    /// The response belongs to an earlier request: it is discarded and the next one is read.
    skip
};

/// Receives the response to one call. All functions are called on the event loop.
class response_observer
{
public:
    virtual ~response_observer() = default;

    virtual head_action on_head(response_head const& head) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    /// The response is complete.
    virtual void on_end() = 0;
    virtual void on_failure(call_failure failure, std::string const& reason) = 0;
};

/// A call in progress: one request and its response.
class client_call
{
public:
    virtual ~client_call() = default;

    /// Closes the connection. The observer is not called any more.
    virtual void cancel() = 0;
    /// Stops reading the response until resume() is called.
    virtual void pause() = 0;
    virtual void resume() = 0;
    /// Reads the rest of a response body that the caller does not need, so that the connection can
    /// be reused. The connection is closed when the rest is too long or takes too long. `done` is
    /// called once the bytes that have already arrived are processed, possibly before the response
    /// ends.
    virtual void drain(std::function<void()> done) = 0;
    /// Whether any byte of the request may have reached the server.
    virtual bool may_have_sent() const = 0;
    /// Whether the connection carried an earlier call.
    virtual bool is_on_reused_connection() const = 0;
};

struct client_options
{
    duration connect_timeout = milliseconds(200);
    /// Maximum time from sending a request to the end of its response; zero means no limit.
    duration response_timeout{};
    /// How long an idle connection may be reused if the server sends no Keep-Alive timeout.
    duration default_idle_time = seconds(4);
    /// Fraction of the server's Keep-Alive timeout during which an idle connection may be reused.
    double reused_idle_fraction = 0.6;
    std::size_t max_idle_per_address = 32;
    /// A connection is considered broken if the peer does not acknowledge sent data for this long.
    duration unacknowledged_timeout = seconds(3);
};

/// HTTP client with a pool of keep-alive connections. To be used on the event loop only.
class client
{
public:
    client(asio::io_context& context, client_options options, clock const& time);
    ~client();

    /// Sends an encoded request on an idle connection, or on a new one. If that would open more
    /// than `max_connections` connections to the address (0 means no limit), the call fails with
    /// call_failure::not_sent. `body` is sent after `request`, without being copied.
    std::shared_ptr<client_call> send(network_address const& to,
                                      std::shared_ptr<std::string const> request,
                                      std::shared_ptr<response_observer> observer,
                                      std::size_t max_connections = 0,
                                      std::shared_ptr<std::string const> body = nullptr);

    /// Closes the idle connections to an address, for use when its server is unreachable.
    void close_idle_connections(network_address const& address);

    /// Number of open connections to the address, including idle ones.
    std::size_t connections(network_address const& address) const;
    /// Total number of connections opened since construction.
    std::uint64_t opened() const;
    /// Closes the idle connections. Calls in progress continue.
    void stop();

private:
    class implementation;
    std::shared_ptr<implementation> state;
};

} // namespace lagoonladder::http

#endif
