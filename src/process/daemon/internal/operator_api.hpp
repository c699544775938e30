#ifndef LAGOONLADDER_DAEMON_OPERATOR_API_HPP
#define LAGOONLADDER_DAEMON_OPERATOR_API_HPP

#include <asio.hpp>

#include <lagoonladder/daemon/control_plane.hpp>
#include <lagoonladder/daemon/settings.hpp>
#include <lagoonladder/observability.hpp>

#include "api_exchange.hpp"
#include "peer_channels.hpp"
#include "route_module.hpp"

namespace lagoonladder::daemon
{

/// HTTP routes below /v1/operator; each needs the operator token.
class operator_api : public route_module
{
public:
    operator_api(settings const& config, control_plane& plane, observability::event_timeline& log,
                 peer_channels& channels);
    ~operator_api() override;
    operator_api(operator_api const&) = delete;
    operator_api& operator=(operator_api const&) = delete;

    void register_routes(route_table& routes) override;

private:
    using exchange_pointer = std::shared_ptr<api_exchange>;

    void authorise(api_exchange const& exchange);
    void status(api_exchange& exchange) const;
    void moves(api_exchange& exchange) const;
    void list_events(exchange_pointer const& exchange);
    void read_configuration(api_exchange& exchange) const;
    void apply_configuration(exchange_pointer const& exchange);
    void report_applied(api_exchange& exchange, operation_id const& operation,
                        proposal_outcome const& outcome);
    void drain(api_exchange& exchange);

    settings const& options;
    control_plane& control;
    observability::event_timeline& events;
    peer_channels& peers;
    /// Collects events of other entries, which blocks.
    asio::thread_pool collectors;
};

} // namespace lagoonladder::daemon

#endif
