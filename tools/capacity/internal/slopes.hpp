#ifndef LAGOONLADDER_CAPACITY_SLOPES_HPP
#define LAGOONLADDER_CAPACITY_SLOPES_HPP

namespace lagoonladder::capacity
{

void measure_memory();
void measure_companion();
void measure_routing();
void measure_gossip();
void measure_spread();
void measure_placement();
void measure_configuration();
void measure_consensus();
void measure_once_records();
void measure_restart();

} // namespace lagoonladder::capacity

#endif
