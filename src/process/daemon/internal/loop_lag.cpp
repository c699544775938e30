#include "loop_lag.hpp"

#include <algorithm>

namespace lagoonladder::daemon
{

namespace
{

/// Shorter delays are usual where a VM has a part of a core only.
constexpr duration least_reported = milliseconds(100);
/// Bounds the lines of a VM that has no processor time for long.
constexpr duration line_interval = seconds(1);

} // namespace

loop_lag::loop_lag(event_sink& sink, observability::metrics& metrics, clock const& time_source)
    : events(sink)
    , gauges(metrics)
    , time(time_source)
{
}

void loop_lag::note(duration late, std::size_t open_calls)
{
    this->gauges.observe_seconds("traffic_loop_late_seconds", {}, to_seconds(late));
    this->longest = std::max(this->longest, late);
    auto const now = this->time.now();
    if (this->longest < least_reported || now < this->next_line)
        return;
    this->events.emit(severity::warning, "traffic.loop_late",
                      {{"late_ms", std::to_string(this->longest / milliseconds(1))},
                       {"open_calls", std::to_string(open_calls)}});
    this->longest = {};
    this->next_line = now + line_interval;
}

} // namespace lagoonladder::daemon
