#ifndef LAGOONLADDER_REQUEST_LOAD_DELAY_HPP
#define LAGOONLADDER_REQUEST_LOAD_DELAY_HPP

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

struct load_delay_options
{
    /// Delay of a request by the others at an engine with all slots taken and none waiting. It
    /// stands for the slower decoding, and for the memory that running requests take from cached
    /// parts of prompts.
    duration full = milliseconds(200);
    /// Time after which a slot becomes free once, as a multiple of the number of slots.
    duration slot_time = seconds(4);
};

/// Returns the time by which `requests` running and waiting requests of an engine delay another
/// one. `relative_time` is how long work takes there as a multiple of the time at others.
duration load_delay(double requests, std::uint32_t slots, double relative_time,
                    load_delay_options const& options = {});

} // namespace lagoonladder::request

#endif
