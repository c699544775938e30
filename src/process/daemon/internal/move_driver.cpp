#include "move_driver.hpp"

namespace lagoonladder::daemon
{

move_driver::move_driver(consensus_driver* own_node, event_sink& log, clock const& time_source)
    : node(own_node)
    , events(log)
    , time(time_source)
{
}

void move_driver::collect(vm_id const&, std::vector<version::traffic_sample> const&) {}

void move_driver::step() {}

} // namespace lagoonladder::daemon
