#ifndef LAGOONLADDER_OBSERVABILITY_EVENT_TIMELINE_HPP
#define LAGOONLADDER_OBSERVABILITY_EVENT_TIMELINE_HPP

#include <cstddef>
#include <deque>
#include <mutex>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::observability
{

/// Stamps events with the hybrid clock, logs those of at least `log_level`, and keeps the latest
/// `max_events` events above level debug in memory.
class event_timeline : public event_sink
{
public:
    static constexpr std::size_t default_capacity = 10'000;

    event_timeline(vm_id self, clock const& time_source, severity log_level,
                   std::size_t max_events = default_capacity);

    void emit(severity level, std::string name, std::vector<event_field> fields) override;

    /// Returns the time stamp for a message to be sent.
    hybrid_timestamp stamp();
    /// Advances the hybrid clock by the time stamp of a received message.
    void observe(hybrid_timestamp received);

    /// Returns the newest `limit` events that are later than `since`, oldest first.
    std::vector<event> list(hybrid_timestamp since, std::size_t limit) const;

private:
    vm_id const vm;
    clock const& time;
    severity const log_threshold;
    std::size_t const capacity;
    hybrid_clock timestamps;
    mutable std::mutex mutex;
    std::deque<event> recent_events;
};

/// Merges the lists of several daemons into one, oldest first, without duplicates.
std::vector<event> merge_events(std::vector<std::vector<event>> const& lists);

/// Formats an event as a log line:
/// "2026-12-05T06:00:00.000000Z level=info vm=entry-1 event=move.reversed service=..."
std::string format_event(event const& value);

char const* to_string(severity level);

} // namespace lagoonladder::observability

#endif
