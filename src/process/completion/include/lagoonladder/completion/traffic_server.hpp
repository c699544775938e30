#ifndef LAGOONLADDER_COMPLETION_TRAFFIC_SERVER_HPP
#define LAGOONLADDER_COMPLETION_TRAFFIC_SERVER_HPP

#include <memory>
#include <vector>

#include <lagoonladder/completion/route_module.hpp>
#include <lagoonladder/control.hpp>
#include <lagoonladder/http.hpp>
#include <lagoonladder/observability.hpp>

namespace grpc
{
class Service;
}

namespace lagoonladder::completion
{

/// The request-serving part of a daemon: the HTTP interface for callers and endpoints, and the
/// processing of accepted completions, on an event loop with one thread. The referenced objects
/// outlive the server.
class traffic_server
{
public:
    /// `modules` add further routes; they outlive the server. `memory` is the budget for requests
    /// that the server shares with others; nullptr for one of its own.
    traffic_server(config::settings const& config, control::control_plane& control,
                   event_sink& events, observability::metrics& metrics, clock const& time,
                   std::uint64_t seed, std::vector<route_module*> modules = {},
                   std::shared_ptr<http::request_memory> memory = nullptr);
    ~traffic_server();
    traffic_server(traffic_server const&) = delete;
    traffic_server& operator=(traffic_server const&) = delete;

    /// Binds the configured address (port 0: the kernel chooses a free port) and starts to
    /// serve. Throws http_error if the address cannot be bound.
    void start();

    /// Address on which the server listens; valid after start().
    network_address address() const;

    /// Marks this entry as leaving. Requests are still served; each connection is closed after
    /// its next response.
    void drain();

    /// Refuses further requests and closes each connection once its response is written.
    void close_connections();

    /// Whether all connections are closed after close_connections().
    bool has_closed_connections() const;

    /// Number of requests in progress.
    std::uint32_t open_requests() const;

    /// Waits until no request is in progress. Returns false if the timeout expires first.
    bool wait_until_idle(duration timeout) const;

    /// Closes all connections and stops processing requests. Companions take over unfinished
    /// completions.
    void stop();

    /// gRPC service `Requests`, to be registered with the daemon's gRPC server, which must be
    /// shut down before this object is destroyed.
    grpc::Service& requests_service();

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};

} // namespace lagoonladder::completion

#endif
