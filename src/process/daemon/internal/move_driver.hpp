#ifndef LAGOONLADDER_DAEMON_MOVE_DRIVER_HPP
#define LAGOONLADDER_DAEMON_MOVE_DRIVER_HPP

#include <map>
#include <vector>

#include "consensus_driver.hpp"

namespace lagoonladder::daemon
{

/// Runs the controllers of version moves while this daemon is the leader.
/// Lives on the control thread.
class move_driver
{
public:
    /// `own_node` is null on a VM without a log; then this does nothing.
    move_driver(consensus_driver* own_node, event_sink& log, clock const& time_source);

    /// Traffic of one interval as `from` saw it.
    void collect(vm_id const& from, std::vector<version::traffic_sample> const& samples);

    /// To be called once per report interval.
    void step();

private:
    void report_changes(version::shared_state const& shared);

    consensus_driver* const node;
    event_sink& events;
    clock const& time;
};

} // namespace lagoonladder::daemon

#endif
