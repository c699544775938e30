#ifndef LAGOONLADDER_CAPACITY_SECTIONS_HPP
#define LAGOONLADDER_CAPACITY_SECTIONS_HPP

namespace lagoonladder::capacity
{

// Each function measures one section and prints how cost grows with size.

void measure_memory();
void measure_companion();
void measure_routing();
void measure_gossip();
void measure_propagation();
void measure_placement();
void measure_configuration();
void measure_consensus();
void measure_at_most_once_records();
void measure_restart();

} // namespace lagoonladder::capacity

#endif
