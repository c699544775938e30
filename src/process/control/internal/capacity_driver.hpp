#ifndef LAGOONLADDER_CONTROL_CAPACITY_DRIVER_HPP
#define LAGOONLADDER_CONTROL_CAPACITY_DRIVER_HPP

#include <deque>

#include <lagoonladder/control/control_plane.hpp>
#include <lagoonladder/proxy.hpp>

namespace lagoonladder::control
{

/// Orders replicas for the services whose capacity may be ordered. Lives on the control
/// thread of the duty's holder.
class capacity_driver
{
public:
    capacity_driver(event_sink& log, clock const& time_source);

    /// To be called about once a second while the duty is held.
    void step(control_view const& view, proxy::platform_duties& platform,
              proxy::platform_duties::holder const& self);

    /// The duty was lost; a later holder starts afresh.
    void reset();

private:
    struct order_key
    {
        service_name service;
        data_centre_id data_centre;
        bool reclaimable = false;

        friend auto operator<=>(order_key const&, order_key const&) = default;
    };

    /// What one order is made from.
    struct order_basis
    {
        std::uint32_t planned = 0;
        std::uint32_t serving = 0;
        /// Tokens a second that callers ask for, for the log.
        double demand = 0;
        /// Two versions of the service run side by side.
        bool is_moving = false;
    };

    struct order_state
    {
        std::optional<std::uint32_t> accepted;
        time_point next_try{};
        /// Since when the plan asks for fewer replicas than were ordered.
        std::optional<time_point> lower_since;
        bool in_flight = false;
    };

    /// What is known of one endpoint's announcements.
    struct announcement
    {
        incarnation start;
        std::uint64_t sequence = 0;
        time_point seen{};
    };

    /// Notes which endpoints announced themselves again since the last step.
    void watch(control_view const& view);
    /// Serving endpoints of the service that still announce themselves.
    version::capacity_by_data_centre serving_replicas(control_view const& view,
                                                      service_name const& service) const;
    /// Tokens a second that the present engines serve in time.
    double served_by_engines(control_view const& view) const;
    /// Learns what runs before the first order. Returns whether orders may be made.
    bool settle(control_view const& view);
    double peak_demand(control_view const& view);
    /// The number to order: a lower one only after the plan has asked for it for a while. No
    /// value when there is nothing to order until then.
    std::optional<std::uint32_t> hold_down(order_state& state, order_basis const& basis) const;
    void order(order_key const& key, order_basis const& basis, proxy::platform_duties& platform,
               proxy::platform_duties::holder const& self);

    event_sink& events;
    clock const& time;
    std::map<order_key, order_state> orders;
    std::map<endpoint_id, announcement> announcements;
    /// Demand of the last seconds, for its maximum.
    std::deque<std::pair<time_point, double>> demands;
    std::optional<time_point> held_since;
    /// Assumed until callers come, in tokens a second.
    double initial_demand = 0;
    bool callers_came = false;
    /// Answers to orders from before a reset are ignored.
    std::uint64_t epoch = 0;
};

} // namespace lagoonladder::control

#endif
