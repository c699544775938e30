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
    /// The connection ended, or carried no valid HTTP, before the head of the response.
    no_response,
    /// The response is incomplete or malformed.
    broken_response
};

char const* to_string(call_failure failure);

enum class head_action
{
    accept,
    /// The response belongs to an earlier request; the next one is read.
    skip
};

/// Takes the response of one call, on the event loop.
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

/// One call in progress.
class client_call
{
public:
    virtual ~client_call() = default;

    /// Closes the connection; the observer hears nothing more.
    virtual void cancel() = 0;
    /// Stops and continues reading the response.
    virtual void pause() = 0;
    virtual void resume() = 0;
    /// The body of the response is of no use: the rest is read within bounds, so that the
    /// connection may be kept. `done` is called once what has arrived is taken, which may be
    /// before the response ends.
    virtual void drain(std::function<void()> done) = 0;
    /// Whether a byte of the request may have reached the server.
    virtual bool may_have_sent() const = 0;
    /// Whether the connection had carried a call before.
    virtual bool is_on_reused_connection() const = 0;
};

struct client_options
{
    duration connect_timeout = milliseconds(200);
    /// From sending a request to the end of its response; zero is no limit.
    duration response_timeout{};
    /// Idle connections are used again within this time when the server states none.
    duration default_idle_time = seconds(4);
    /// Part of the idle time that a server states within which a connection is used again.
    double used_idle_part = 0.6;
    std::size_t max_idle_per_address = 32;
    /// A connection whose peer acknowledges nothing for this long is broken.
    duration unacknowledged_timeout = seconds(3);
};

/// Sends requests and keeps connections for later ones. Used on the event loop only.
class client
{
public:
    client(asio::io_context& context, client_options options, clock const& time);
    ~client();

    /// Sends the bytes of a request. At most `max_connections` to the address are open at
    /// the same time (0 is no limit).
    std::shared_ptr<client_call> send(network_address const& to,
                                      std::shared_ptr<std::string const> request,
                                      std::shared_ptr<response_observer> observer,
                                      std::size_t max_connections = 0);

    /// Closes kept connections to an address whose server is gone.
    void close_idle_connections(network_address const& address);

    /// Connections to the address, idle ones included.
    std::size_t connections(network_address const& address) const;
    /// Connections opened so far.
    std::uint64_t opened() const;

    void stop();

private:
    class implementation;
    std::shared_ptr<implementation> state;
};

} // namespace lagoonladder::http

#endif
