#ifndef LAGOONLADDER_COMPLETION_ROUTE_MODULE_HPP
#define LAGOONLADDER_COMPLETION_ROUTE_MODULE_HPP

namespace lagoonladder::completion
{

class route_table;

/// A component that adds routes to the daemon's HTTP interface before the server starts.
class route_module
{
public:
    virtual ~route_module() = default;
    virtual void register_routes(route_table& routes) = 0;
};

} // namespace lagoonladder::completion

#endif
