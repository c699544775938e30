#ifndef LAGOONLADDER_COMPLETION_DIRECTORY_ROUTES_HPP
#define LAGOONLADDER_COMPLETION_DIRECTORY_ROUTES_HPP

#include <entry_selector.hpp>
#include <lagoonladder/completion/route_module.hpp>

namespace lagoonladder::completion
{

/// Routes of the entry list for callers, the announcements of endpoints, health checks and
/// metrics.
class directory_routes : public route_module
{
public:
    directory_routes(traffic_context& shared_context, entry_selector& selector)
        : context(shared_context)
        , entries(selector)
    {
    }

    void register_routes(route_table& routes) override;

private:
    void register_health(route_table& routes);

    traffic_context& context;
    entry_selector& entries;
};

} // namespace lagoonladder::completion

#endif
