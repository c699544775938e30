#ifndef LAGOONLADDER_COMPLETION_REQUEST_ROUTES_HPP
#define LAGOONLADDER_COMPLETION_REQUEST_ROUTES_HPP

#include <completion_answer.hpp>
#include <completion_service.hpp>
#include <lagoonladder/completion/route_module.hpp>
#include <lagoonladder/control.hpp>

namespace lagoonladder::completion
{

/// GET /v1/requests: returns the remaining tokens of a completion, or the state of a
/// non-idempotent call.
class request_routes : public route_module
{
public:
    explicit request_routes(completion_service& shared_service)
        : service(shared_service)
        , peers(shared_service.dependencies().context.config.cluster_token)
    {
    }

    void register_routes(route_table& routes) override;

private:
    void serve(std::shared_ptr<api_exchange> const& exchange, request_id const& id);
    void serve_completion(std::shared_ptr<api_exchange> const& exchange, request_id const& id,
                          account_id const& account);
    void send_completion(std::shared_ptr<api_exchange> const& exchange, request_id const& id,
                         std::shared_ptr<token_source> const& source,
                         request::fetch_result const& first, token_offset offset);
    void serve_at_most_once_state(std::shared_ptr<api_exchange> const& exchange,
                                  request_id const& id, account_id const& account);

    completion_service& service;
    peer_channels peers;
};

} // namespace lagoonladder::completion

#endif
