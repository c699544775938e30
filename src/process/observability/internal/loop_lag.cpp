#include <lagoonladder/observability/loop_lag.hpp>

#include <algorithm>

namespace lagoonladder::observability
{

namespace
{

/// Shorter delays are usual where a VM has a part of a core only.
constexpr duration least_reported = milliseconds(100);
/// Bounds the lines of a VM that has no processor time for long.
constexpr duration line_interval = seconds(1);

} // namespace

loop_lag::loop_lag(event_sink& sink, metrics& counts, clock const& time_source,
                   std::string const& loop)
    : events(sink)
    , histograms(counts)
    , time(time_source)
    , event_name(loop + ".loop_late")
    , metric_name(loop + "_loop_late_seconds")
    , lines(line_interval)
{
}

void loop_lag::note(duration late, std::vector<event_field> load)
{
    this->histograms.observe_seconds(this->metric_name, {}, to_seconds(late));
    this->longest = std::max(this->longest, late);
    if (this->longest < least_reported || !this->lines.admit(this->time.now()))
        return;
    load.insert(load.begin(), {"late_ms", std::to_string(this->longest / milliseconds(1))});
    this->events.emit(severity::warning, this->event_name, std::move(load));
    this->longest = {};
}

} // namespace lagoonladder::observability
