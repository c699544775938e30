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
    plain_routes(plain_dependencies const& common_dependencies, completion_service& id_source)
        : dependencies(common_dependencies)
        , ids(id_source)
    {
    }

    void register_routes(route_table& routes) override;

private:
    void serve(std::shared_ptr<api_exchange> const& exchange);
    /// Validates the request. Throws refusal for an invalid one.
    plain_call make_call(control_view const& view, std::shared_ptr<api_exchange> const& exchange);
    /// Throws refusal (400) for a malformed creation time, and refusal (422) if the request is so
    /// old that the record of an earlier execution may already be deleted.
    void check_age(plain_call const& call) const;

    plain_dependencies dependencies;
    completion_service& ids;
};

} // namespace lagoonladder::completion

#endif
