#ifndef LAGOONLADDER_DAEMON_OPERATOR_API_HPP
#define LAGOONLADDER_DAEMON_OPERATOR_API_HPP

#include <asio.hpp>

#include <lagoonladder/completion.hpp>
#include <lagoonladder/config.hpp>
#include <lagoonladder/control.hpp>
#include <lagoonladder/observability.hpp>

#include "placement_explanations.hpp"

namespace lagoonladder::daemon
{

/// HTTP routes below /v1/operator. Each request must carry the operator token.
class operator_api : public completion::route_module
{
public:
    operator_api(config::settings const& config, control::control_plane& plane,
                 observability::event_timeline& log, control::peer_channels& channels);
    ~operator_api() override;
    operator_api(operator_api const&) = delete;
    operator_api& operator=(operator_api const&) = delete;

    void register_routes(completion::route_table& routes) override;

    /// Sets what explains pass-through calls; null, as at first, on an entry that has none. To be
    /// called before requests are served.
    void set_explainer(placement_explainer* source) { this->explainer = source; }

private:
    using exchange_pointer = std::shared_ptr<completion::api_exchange>;

    void authorise(completion::api_exchange const& exchange);
    void report_status(completion::api_exchange& exchange) const;
    void list_moves(completion::api_exchange& exchange) const;
    void list_events(exchange_pointer const& exchange);
    void read_configuration(completion::api_exchange& exchange) const;
    void apply_configuration(exchange_pointer const& exchange);
    void report_apply_outcome(completion::api_exchange& exchange, operation_id const& operation,
                              control::proposal_outcome const& outcome);
    void drain(completion::api_exchange& exchange);

    config::settings const& options;
    control::control_plane& control;
    observability::event_timeline& events;
    control::peer_channels& peers;
    placement_explainer* explainer = nullptr;
    /// Runs the collection of events from other entries, which blocks its thread.
    asio::thread_pool event_collectors;
};

} // namespace lagoonladder::daemon

#endif
