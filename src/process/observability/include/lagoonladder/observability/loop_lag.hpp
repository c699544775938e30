#ifndef LAGOONLADDER_OBSERVABILITY_LOOP_LAG_HPP
#define LAGOONLADDER_OBSERVABILITY_LOOP_LAG_HPP

#include <string>
#include <vector>

#include <lagoonladder/base.hpp>
#include <lagoonladder/observability/log_rate_limiter.hpp>
#include <lagoonladder/observability/metrics.hpp>

namespace lagoonladder::observability
{

/// Reports how late an event loop runs its timers. A lack of processor time on the VM shows
/// here before calls miss their deadlines. For the loop "traffic" the histogram is
/// `traffic_loop_late_seconds`, and the event, at most one a second for delays of 100 ms or more,
/// is `traffic.loop_late`.
class loop_lag
{
public:
    loop_lag(event_sink& sink, metrics& metric_registry, clock const& time_source,
             std::string const& loop);

    /// Records that a timer ran `delay` after its due time. `load_fields` are added to the
    /// event.
    void record(duration delay, std::vector<event_field> load_fields);

private:
    event_sink& events;
    metrics& registry;
    clock const& time;
    std::string const event_name;
    std::string const metric_name;
    duration max_delay{};
    log_rate_limiter log_limiter;
};

} // namespace lagoonladder::observability

#endif
