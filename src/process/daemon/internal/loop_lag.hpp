#ifndef LAGOONLADDER_DAEMON_LOOP_LAG_HPP
#define LAGOONLADDER_DAEMON_LOOP_LAG_HPP

#include <lagoonladder/observability.hpp>

namespace lagoonladder::daemon
{

/// Tells how late the event loop runs its timers: a VM without processor time shows here
/// before its calls are late.
class loop_lag
{
public:
    loop_lag(event_sink& events, observability::metrics& metrics, clock const& time);

    /// A timer ran `late` after its time, with so many calls open.
    void note(duration late, std::size_t open_calls);

private:
    event_sink& events;
    observability::metrics& gauges;
    clock const& time;
    duration longest{};
    time_point next_line{};
};

} // namespace lagoonladder::daemon

#endif
