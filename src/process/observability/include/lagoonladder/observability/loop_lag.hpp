#ifndef LAGOONLADDER_OBSERVABILITY_LOOP_LAG_HPP
#define LAGOONLADDER_OBSERVABILITY_LOOP_LAG_HPP

#include <string>
#include <vector>

#include <lagoonladder/base.hpp>
#include <lagoonladder/observability/line_limit.hpp>
#include <lagoonladder/observability/metrics.hpp>

namespace lagoonladder::observability
{

/// Tells how late an event loop runs its timers: a VM without processor time shows here
/// before its calls are late. For the loop "traffic" the line is `traffic.loop_late` and the
/// histogram `traffic_loop_late_seconds`.
class loop_lag
{
public:
    loop_lag(event_sink& sink, metrics& counts, clock const& time_source, std::string const& loop);

    /// A timer ran `late` after its time; `load` goes into the line.
    void note(duration late, std::vector<event_field> load);

private:
    event_sink& events;
    metrics& histograms;
    clock const& time;
    std::string const event_name;
    std::string const metric_name;
    duration longest{};
    line_limit lines;
};

} // namespace lagoonladder::observability

#endif
