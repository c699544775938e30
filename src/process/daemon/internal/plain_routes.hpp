#ifndef LAGOONLADDER_DAEMON_PLAIN_ROUTES_HPP
#define LAGOONLADDER_DAEMON_PLAIN_ROUTES_HPP

#include <plain_call.hpp>
#include <route_module.hpp>

namespace lagoonladder::daemon
{

class completion_service;

/// ANY /services/{service}/{path}.
class plain_routes : public route_module
{
public:
    plain_routes(plain_parts const& shared, completion_service& id_source)
        : parts(shared)
        , ids(id_source)
    {
    }

    void register_routes(route_table& routes) override;

private:
    void serve(std::shared_ptr<api_exchange> const& exchange);
    plain_call describe(control_view const& view, std::shared_ptr<api_exchange> const& exchange);
    void check_age(plain_call const& call) const;

    plain_parts parts;
    completion_service& ids;
};

} // namespace lagoonladder::daemon

#endif
