#ifndef LAGOONLADDER_DAEMON_TRAFFIC_UPSTREAM_HPP
#define LAGOONLADDER_DAEMON_TRAFFIC_UPSTREAM_HPP

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include <httplib.h>

#include <traffic_context.hpp>

namespace lagoonladder::daemon
{

/// How a call to an endpoint ended on the connection.
enum class upstream_result
{
    /// A whole response arrived.
    complete,
    /// No connection: no byte of the request was sent.
    not_connected,
    /// The connection broke, or was silent for the progress timeout.
    broken,
    /// The receiver ended the call.
    stopped
};

/// HTTP connections to endpoints. Idle ones are kept for a short time. Safe to
/// call from any thread.
class upstream_connections
{
public:
    explicit upstream_connections(clock const& source)
        : time(source)
    {
    }

    /// Runs a call of an idempotent request; a pooled connection may be used. When a
    /// pooled connection turns out to be closed, the call is repeated on a new one.
    upstream_result call(network_address const& address, duration progress_timeout,
                         httplib::Request& request, httplib::Response& response);

    /// Runs a call on a connection of its own and never repeats it.
    static upstream_result call_once(network_address const& address, duration connect_timeout,
                                     duration progress_timeout, httplib::Request& request,
                                     httplib::Response& response);

    /// Closes connections that were idle for too long.
    void close_idle();

private:
    struct idle_connection
    {
        std::unique_ptr<httplib::Client> client;
        time_point since{};
    };

    std::unique_ptr<httplib::Client> take(network_address const& address);
    void put_back(network_address const& address, std::unique_ptr<httplib::Client> client);

    clock const& time;
    std::mutex mutex;
    std::map<network_address, std::vector<idle_connection>> idle;
};

} // namespace lagoonladder::daemon

#endif
