#ifndef LAGOONLADDER_COMPLETION_TRAFFIC_SERVER_HPP
#define LAGOONLADDER_COMPLETION_TRAFFIC_SERVER_HPP

#include <memory>
#include <vector>

#include <lagoonladder/completion/route_module.hpp>
#include <lagoonladder/control.hpp>
#include <lagoonladder/observability.hpp>

namespace grpc
{
class Service;
}

namespace lagoonladder::completion
{

/// The completion plane of a daemon: HTTP interface for callers and endpoints, and the
/// accepted completions, on an event loop with one thread. The referenced objects outlive it.
class traffic_server
{
public:
    /// `modules` add further routes; they outlive the server.
    traffic_server(config::settings const& config, control::control_plane& control,
                   event_sink& events, observability::metrics& metrics, clock const& time,
                   std::uint64_t seed, std::vector<route_module*> modules = {});
    ~traffic_server();
    traffic_server(traffic_server const&) = delete;
    traffic_server& operator=(traffic_server const&) = delete;

    /// Binds the address of the settings (port 0: the kernel picks one) and serves.
    /// Throws http_error when the address cannot be bound.
    void start();

    /// Address that is served; valid after start().
    network_address address() const;

    /// Marks this entry as leaving. Requests are still served; connections end after their
    /// next answer.
    void drain();

    /// Refuses further requests and closes connections once their answers are written.
    void close_connections();

    /// After close_connections(): all connections are closed.
    bool has_closed_connections() const;

    /// Requests in progress.
    std::uint32_t open_requests() const;

    /// Waits until no request is in progress. False when the timeout passed first.
    bool wait_until_idle(duration timeout) const;

    /// Ends all connections and the work on requests. Companions take over what is unfinished.
    void stop();

    /// gRPC service `Requests`, to be registered with the daemon's gRPC server. The
    /// gRPC server is to be shut down before this object is destroyed.
    grpc::Service& requests_service();

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};

} // namespace lagoonladder::completion

#endif
