#ifndef LAGOONLADDER_COMPLETION_TRAFFIC_DIRECTORY_ROUTES_HPP
#define LAGOONLADDER_COMPLETION_TRAFFIC_DIRECTORY_ROUTES_HPP

#include <lagoonladder/completion/route_module.hpp>
#include <traffic_entries.hpp>

namespace lagoonladder::completion
{

/// Entry list for callers, announcements of endpoints, health and metrics.
class directory_routes : public route_module
{
public:
    directory_routes(traffic_context& shared, traffic_entries& known_entries)
        : context(shared)
        , entries(known_entries)
    {
    }

    void register_routes(route_table& routes) override;

private:
    void register_health(route_table& routes);

    traffic_context& context;
    traffic_entries& entries;
};

} // namespace lagoonladder::completion

#endif
