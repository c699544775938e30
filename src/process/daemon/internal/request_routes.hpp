#ifndef LAGOONLADDER_DAEMON_REQUEST_ROUTES_HPP
#define LAGOONLADDER_DAEMON_REQUEST_ROUTES_HPP

#include <completion_answer.hpp>
#include <completion_service.hpp>
#include <peer_channels.hpp>
#include <route_module.hpp>

namespace lagoonladder::daemon
{

/// GET /v1/requests: the rest of a completion, or the state of a non-idempotent call.
class request_routes : public route_module
{
public:
    explicit request_routes(completion_service& shared)
        : service(shared)
        , peers(shared.parts().context.config.cluster_token)
    {
    }

    void register_routes(httplib::Server& server) override;

private:
    void serve(httplib::Request const& request, httplib::Response& response, request_id const& id);
    bool serve_completion(httplib::Request const& request, httplib::Response& response,
                          request_id const& id, control_view const& view,
                          account_id const& account);
    void serve_once_state(httplib::Request const& request, httplib::Response& response,
                          request_id const& id, control_view const& view,
                          account_id const& account);

    completion_service& service;
    peer_channels peers;
};

} // namespace lagoonladder::daemon

#endif
