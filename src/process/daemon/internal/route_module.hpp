#ifndef LAGOONLADDER_DAEMON_ROUTE_MODULE_HPP
#define LAGOONLADDER_DAEMON_ROUTE_MODULE_HPP

namespace httplib
{
class Server;
}

namespace lagoonladder::daemon
{

/// A group of HTTP routes.
class route_module
{
public:
    virtual ~route_module() = default;
    /// Called once, before the server accepts connections.
    virtual void register_routes(httplib::Server& server) = 0;
};

} // namespace lagoonladder::daemon

#endif
