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
/// here before calls miss their deadlines. For the loop "traffic" the event is
/// `traffic.loop_late` and the histogram `traffic_loop_late_seconds`.
class loop_lag
{
public:
    loop_lag(event_sink& sink, metrics& counts, clock const& time_source, std::string const& loop);

    /// Records that a timer ran `late` after its due time. `load` holds further fields of the
    /// event.
    void record(duration late, std::vector<event_field> load);

private:
    event_sink& events;
    metrics& histograms;
    clock const& time;
    std::string const event_name;
    std::string const metric_name;
    duration max_delay{};
    log_rate_limiter log_limiter;
};

} // namespace lagoonladder::observability

#endif
