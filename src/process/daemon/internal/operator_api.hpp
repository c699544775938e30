#ifndef LAGOONLADDER_DAEMON_OPERATOR_API_HPP
#define LAGOONLADDER_DAEMON_OPERATOR_API_HPP

#include <lagoonladder/daemon/control_plane.hpp>
#include <lagoonladder/daemon/settings.hpp>
#include <lagoonladder/observability.hpp>

#include "peer_channels.hpp"
#include "route_module.hpp"

namespace httplib
{
struct Request;
struct Response;
} // namespace httplib

namespace lagoonladder::daemon
{

/// HTTP routes below /v1/operator; each needs the operator token.
class operator_api : public route_module
{
public:
    operator_api(settings const& config, control_plane& plane, observability::event_timeline& log,
                 peer_channels& channels);

    void register_routes(httplib::Server& server) override;

private:
    bool authorise(httplib::Request const& request, httplib::Response& response);
    void status(httplib::Response& response) const;
    void moves(httplib::Response& response) const;
    void list_events(httplib::Request const& request, httplib::Response& response);
    void read_configuration(httplib::Response& response) const;
    void apply_configuration(httplib::Request const& request, httplib::Response& response);
    void drain(httplib::Request const& request, httplib::Response& response);

    settings const& options;
    control_plane& control;
    observability::event_timeline& events;
    peer_channels& peers;
};

} // namespace lagoonladder::daemon

#endif
