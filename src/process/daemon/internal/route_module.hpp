#ifndef LAGOONLADDER_DAEMON_ROUTE_MODULE_HPP
#define LAGOONLADDER_DAEMON_ROUTE_MODULE_HPP

namespace httplib
{
class Server;
}

namespace lagoonladder::daemon
{

/// Adds routes to the daemon's HTTP server before it starts.
class route_module
{
public:
    virtual ~route_module() = default;
    virtual void register_routes(httplib::Server& server) = 0;
};

} // namespace lagoonladder::daemon

#endif
