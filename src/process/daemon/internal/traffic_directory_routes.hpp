#ifndef LAGOONLADDER_DAEMON_TRAFFIC_DIRECTORY_ROUTES_HPP
#define LAGOONLADDER_DAEMON_TRAFFIC_DIRECTORY_ROUTES_HPP

#include <route_module.hpp>
#include <traffic_context.hpp>

namespace lagoonladder::daemon
{

/// Entry list for callers, announcements of endpoints, health and metrics.
class directory_routes : public route_module
{
public:
    explicit directory_routes(traffic_context& shared)
        : context(shared)
    {
    }

    void register_routes(httplib::Server& server) override;

private:
    void register_health(httplib::Server& server);

    traffic_context& context;
};

} // namespace lagoonladder::daemon

#endif
