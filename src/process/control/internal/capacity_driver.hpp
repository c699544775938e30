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

    struct order_state
    {
        std::optional<std::uint32_t> accepted;
        time_point next_try{};
        /// Since when the plan asks for fewer replicas than were ordered.
        std::optional<time_point> lower_since;
        bool in_flight = false;
    };

    /// Learns what runs before the first order. Returns whether orders may be made.
    bool settle(control_view const& view);
    double peak_demand(control_view const& view);
    /// The number to order: a lower one only after the plan has asked for it for a while.
    std::uint32_t hold_down(order_state& state, std::uint32_t replicas) const;
    void order(order_key const& key, std::uint32_t replicas, std::uint32_t serving,
               proxy::platform_duties& platform, proxy::platform_duties::holder const& self);

    event_sink& events;
    clock const& time;
    std::map<order_key, order_state> orders;
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
