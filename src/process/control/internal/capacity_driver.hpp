#ifndef LAGOONLADDER_CONTROL_CAPACITY_DRIVER_HPP
#define LAGOONLADDER_CONTROL_CAPACITY_DRIVER_HPP

#include <deque>

#include <lagoonladder/config.hpp>
#include <lagoonladder/control/control_plane.hpp>
#include <lagoonladder/proxy.hpp>
#include <lagoonladder/version/engine_need.hpp>

#include "telemetry.hpp"

namespace lagoonladder::control
{

/// Orders replicas from the platform for the engine services that allow scaling. Runs on the
/// control thread of the duty holder.
class capacity_driver
{
public:
    capacity_driver(telemetry const& sinks, config::engine_capacity chosen);

    /// Plans the capacity and orders changes. To be called about once a second while the duty is
    /// held.
    void step(control_view const& view, proxy::platform_duties& platform,
              proxy::platform_duties::holder const& self);

    /// Discards all state because the duty was lost or newly acquired.
    void reset();

private:
    struct order_key
    {
        service_name service;
        data_centre_id data_centre;
        bool reclaimable = false;

        friend auto operator<=>(order_key const&, order_key const&) = default;
    };

    /// Figures that one order is based on.
    struct order_basis
    {
        std::uint32_t planned = 0;
        std::uint32_t serving = 0;
        /// Tokens per second that callers request; only logged.
        double demand = 0;
        /// No value when the constant alone decides; only logged.
        std::optional<version::engine_need> need;
        /// Two versions of the service run side by side.
        bool is_moving = false;
    };

    /// State of the orders for one service, data centre and kind of VM.
    struct order_state
    {
        /// Replicas of the latest order; no value when it was refused or there is none.
        std::optional<std::uint32_t> accepted_replicas;
        time_point next_attempt{};
        /// Start of the time in which the plan needs fewer replicas than were ordered.
        std::optional<time_point> reduction_since;
        bool in_flight = false;
    };

    /// Latest announcement of an endpoint.
    struct announcement
    {
        incarnation endpoint_incarnation;
        std::uint64_t sequence = 0;
        time_point received_at{};
    };

    /// Records which endpoints announced themselves since the last step.
    void record_announcements(control_view const& view);
    /// Counts the service's serving endpoints that still announce themselves.
    version::capacity_by_data_centre serving_replicas(control_view const& view,
                                                      service_name const& service) const;
    /// Tokens per second that the serving engines can generate in time.
    double engine_capacity(control_view const& view) const;
    /// Derives the initial demand from the engines that run before the first order. Returns
    /// whether orders may be made.
    bool observe_initial_demand(control_view const& view);
    /// Maximum demand within the demand window, in tokens per second.
    double peak_demand(control_view const& view);
    /// Returns the engines that callers of the service need, at least what the constant gives for
    /// `peak_demand` while the measurements are too new.
    version::engine_need find_need(control_view const& view,
                                   version::pass_through_service const& service,
                                   double peak_demand);
    /// Restarts the delay of reductions in data centres in which nothing is ordered at present.
    void forget_reductions(std::set<data_centre_id> const& evacuated);
    /// Returns the number of replicas to order. A reduction takes effect only after the plan has
    /// called for it for a while; no value when there is nothing to order until then.
    std::optional<std::uint32_t> delay_reduction(order_state& state,
                                                 order_basis const& basis) const;
    void order(order_key const& key, order_basis const& basis, proxy::platform_duties& platform,
               proxy::platform_duties::holder const& self);

    event_sink& events;
    observability::metrics& metrics;
    clock const& time;
    config::engine_capacity const mode;
    std::map<order_key, order_state> orders;
    std::map<endpoint_id, announcement> announcements;
    /// Demand within the demand window, oldest first.
    std::deque<std::pair<time_point, double>> demands;
    /// Needs within the demand window, for measured work only.
    std::map<service_name, version::peak_engine_need> needs;
    std::optional<time_point> held_since;
    /// Demand assumed until callers arrive, in tokens per second.
    double initial_demand = 0;
    bool has_seen_callers = false;
    /// Incremented by each reset, so that replies to earlier orders are ignored.
    std::uint64_t epoch = 0;
};

} // namespace lagoonladder::control

#endif
