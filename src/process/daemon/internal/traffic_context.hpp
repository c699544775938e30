#ifndef LAGOONLADDER_DAEMON_TRAFFIC_CONTEXT_HPP
#define LAGOONLADDER_DAEMON_TRAFFIC_CONTEXT_HPP

#include <atomic>

#include <lagoonladder/daemon.hpp>
#include <lagoonladder/observability.hpp>

namespace lagoonladder::daemon
{

/// What all parts of the traffic plane use. The referenced objects outlive them.
struct traffic_context
{
    settings const& config;
    control_plane& control;
    event_sink& events;
    observability::metrics& metrics;
    clock const& time;
    /// Requests in progress.
    std::atomic<std::uint32_t> open_requests = 0;
};

/// Counts a request as open while it exists.
class open_request
{
public:
    explicit open_request(traffic_context& owner)
        : context(owner)
    {
        ++this->context.open_requests;
    }
    ~open_request() { --this->context.open_requests; }
    open_request(open_request const&) = delete;
    open_request& operator=(open_request const&) = delete;

private:
    traffic_context& context;
};

} // namespace lagoonladder::daemon

#endif
