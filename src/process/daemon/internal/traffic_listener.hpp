#ifndef LAGOONLADDER_DAEMON_TRAFFIC_LISTENER_HPP
#define LAGOONLADDER_DAEMON_TRAFFIC_LISTENER_HPP

#include <memory>
#include <thread>

#include <httplib.h>

#include <route_module.hpp>
#include <traffic_context.hpp>

namespace lagoonladder::daemon
{

/// The HTTP server with its limits and its accepting thread.
class traffic_listener
{
public:
    explicit traffic_listener(traffic_context& shared);
    ~traffic_listener();
    traffic_listener(traffic_listener const&) = delete;
    traffic_listener& operator=(traffic_listener const&) = delete;

    void add(route_module& module);

    /// Throws daemon_error when the address cannot be bound.
    void start();
    void stop();
    network_address address() const { return this->bound; }

private:
    class http_server;

    void set_limits();
    void set_error_answers();

    traffic_context& context;
    std::unique_ptr<http_server> server;
    std::thread acceptor;
    network_address bound;
};

} // namespace lagoonladder::daemon

#endif
