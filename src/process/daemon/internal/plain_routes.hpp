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

    void register_routes(httplib::Server& server) override;

private:
    void serve(httplib::Request const& request, httplib::Response& response);
    plain_call describe(control_view const& view, httplib::Request const& request);
    void check_age(plain_call const& call) const;

    plain_parts parts;
    completion_service& ids;
};

} // namespace lagoonladder::daemon

#endif
