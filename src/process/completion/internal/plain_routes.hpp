#ifndef LAGOONLADDER_COMPLETION_PLAIN_ROUTES_HPP
#define LAGOONLADDER_COMPLETION_PLAIN_ROUTES_HPP

#include <lagoonladder/completion/route_module.hpp>
#include <plain_call.hpp>

namespace lagoonladder::completion
{

class completion_service;

/// Calls of plain services: /services/{service}/{path} with any method.
class plain_routes : public route_module
{
public:
    plain_routes(plain_dependencies const& shared, completion_service& id_source)
        : dependencies(shared)
        , ids(id_source)
    {
    }

    void register_routes(route_table& routes) override;

private:
    void serve(std::shared_ptr<api_exchange> const& exchange);
    plain_call describe(control_view const& view, std::shared_ptr<api_exchange> const& exchange);
    void check_age(plain_call const& call) const;

    plain_dependencies dependencies;
    completion_service& ids;
};

} // namespace lagoonladder::completion

#endif
