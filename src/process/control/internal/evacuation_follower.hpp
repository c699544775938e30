#ifndef LAGOONLADDER_CONTROL_EVACUATION_FOLLOWER_HPP
#define LAGOONLADDER_CONTROL_EVACUATION_FOLLOWER_HPP

#include <memory>

#include <lagoonladder/base.hpp>
#include <lagoonladder/version.hpp>

namespace lagoonladder::control
{

/// Keeps the newest evacuations that a voter has announced, so that they are in force before the
/// contents that the same status refers to: fetching these may take seconds.
class evacuation_follower
{
public:
    using state_pointer = std::shared_ptr<version::shared_state const>;

    void record(version::shared_status const& status);

    /// Returns the state with the newest evacuations. Returns `state` itself if it has them.
    state_pointer complete(state_pointer state);

private:
    void record(std::uint64_t index, version::evacuation_records const& records);

    /// Index of the last log entry that `newest` reflects.
    std::uint64_t applied_index = 0;
    version::evacuation_records newest;
};

/// Emits an event for each evacuation that has started or ended between the two states.
void report_evacuations(version::shared_state const& previous, version::shared_state const& current,
                        event_sink& events);

} // namespace lagoonladder::control

#endif
