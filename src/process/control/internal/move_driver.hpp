#ifndef LAGOONLADDER_CONTROL_MOVE_DRIVER_HPP
#define LAGOONLADDER_CONTROL_MOVE_DRIVER_HPP

#include <map>
#include <vector>

#include "consensus_driver.hpp"
#include "telemetry.hpp"

namespace lagoonladder::control
{

/// Runs the controllers of version moves while this daemon is the leader, and logs the changes
/// of each move. Runs on the control thread.
class move_driver
{
public:
    /// `own_node` is null on a VM without a log; the driver is then inactive.
    move_driver(consensus_driver* own_node, config::pass_through_settings const& config,
                telemetry const& sinks);

    /// Adds one entry's traffic samples of an interval. Ignored unless this daemon is the leader.
    void collect(std::vector<version::traffic_sample> const& samples);

    /// Advances the running moves. To be called once per report interval.
    void step(control_view const& view);

private:
    void step_move(version::shared_state const& shared, version::move_record const& record);
    void step_renewal(control_view const& view, version::move_record const& record);
    void propose(version::update_move const& change);
    /// Controller for a move of a pass-through service or of one of the configuration.
    version::move_controller make_controller(version::shared_state const& shared,
                                             version::move_record const& record) const;
    void report_changes(version::shared_state const& shared);
    void update_metrics(version::move_record const& record) const;

    struct reported_move
    {
        generation number;
        version::move_state state = version::move_state::running;
        double share = -1;
    };

    consensus_driver* const node;
    config::pass_through_settings const& options;
    event_sink& events;
    observability::metrics& metrics;
    clock const& time;
    std::map<service_name, std::vector<version::traffic_sample>> collected;
    std::map<service_name, version::move_controller> controllers;
    std::map<service_name, reported_move> reported;
    std::uint64_t controlled_term = 0;
};

} // namespace lagoonladder::control

#endif
