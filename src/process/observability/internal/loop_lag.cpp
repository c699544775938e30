#include <lagoonladder/observability/loop_lag.hpp>

#include <algorithm>

namespace lagoonladder::observability
{

namespace
{

/// Shorter delays are usual on a VM that has only a fraction of a processor core.
constexpr duration min_reported_delay = milliseconds(100);
/// Minimum time between two events, so that a long lack of processor time does not fill the log.
constexpr duration min_event_interval = seconds(1);

} // namespace

loop_lag::loop_lag(event_sink& sink, metrics& metric_registry, clock const& time_source,
                   std::string const& loop)
    : events(sink)
    , registry(metric_registry)
    , time(time_source)
    , event_name(loop + ".loop_late")
    , metric_name(loop + "_loop_late_seconds")
    , log_limiter(min_event_interval)
{
}

void loop_lag::record(duration delay, std::vector<event_field> load_fields)
{
    this->registry.observe_seconds(this->metric_name, {}, to_seconds(delay));
    this->max_delay = std::max(this->max_delay, delay);
    if (this->max_delay < min_reported_delay || !this->log_limiter.admit(this->time.now()))
        return;
    load_fields.insert(load_fields.begin(),
                       {"late_ms", std::to_string(this->max_delay / milliseconds(1))});
    this->events.emit(severity::warning, this->event_name, std::move(load_fields));
    this->max_delay = {};
}

} // namespace lagoonladder::observability
