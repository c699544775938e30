#include <lagoonladder/observability/event_timeline.hpp>

#include <algorithm>
#include <tuple>

#include <lagoonladder/observability/log.hpp>

namespace lagoonladder::observability
{

namespace
{

std::string quote_if_needed(std::string const& value)
{
    bool const is_plain =
        !value.empty() &&
        std::none_of(value.begin(), value.end(),
                     [](unsigned char c) { return c <= ' ' || c == '"' || c == '=' || c == 127; });
    if (is_plain)
        return value;
    std::string text = "\"";
    for (unsigned char const c : value)
    {
        if (c == '"' || c == '\\')
            text += '\\';
        // A line break in a value would split the event over two log lines.
        text += c < ' ' || c == 127 ? '?' : static_cast<char>(c);
    }
    return text + '"';
}

auto sort_key(event const& value)
{
    return std::tie(value.when, value.vm, value.name);
}

} // namespace

char const* to_string(severity level)
{
    switch (level)
    {
    case severity::debug:
        return "debug";
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "unknown";
}

std::string format_event(event const& value)
{
    std::string line = format_wall_time(value.when.wall) + " level=" + to_string(value.level) +
                       " vm=" + quote_if_needed(value.vm.value()) + " event=" + value.name;
    for (auto const& field : value.fields)
        line += " " + field.key + "=" + quote_if_needed(field.value);
    return line;
}

event_timeline::event_timeline(vm_id self, clock const& time_source, severity log_level,
                               std::size_t max_events)
    : vm(std::move(self))
    , time(time_source)
    , log_threshold(log_level)
    , capacity(max_events)
{
}

void event_timeline::emit(severity level, std::string name, std::vector<event_field> fields)
{
    event stamped{this->stamp(), this->vm, level, std::move(name), std::move(fields)};
    if (level >= this->log_threshold)
    {
        if (auto const dropped = take_dropped_log_lines(); dropped > 0)
            write_log_line(format_event({this->stamp(),
                                         this->vm,
                                         severity::warning,
                                         "log.lines_dropped",
                                         {{"count", std::to_string(dropped)}}}));
        write_log_line(format_event(stamped));
    }
    if (level == severity::debug)
        return;
    std::lock_guard const lock(this->mutex);
    this->recent_events.push_back(std::move(stamped));
    if (this->recent_events.size() > this->capacity)
        this->recent_events.pop_front();
}

hybrid_timestamp event_timeline::stamp()
{
    return this->timestamps.tick(this->time.wall_now());
}

void event_timeline::observe(hybrid_timestamp received)
{
    this->timestamps.merge(this->time.wall_now(), received);
}

std::vector<event> event_timeline::list(hybrid_timestamp since, std::size_t limit) const
{
    std::lock_guard const lock(this->mutex);
    std::vector<event> found;
    for (auto it = this->recent_events.rbegin();
         it != this->recent_events.rend() && found.size() < limit; ++it)
    {
        if (it->when > since)
            found.push_back(*it);
    }
    std::sort(found.begin(), found.end(),
              [](event const& a, event const& b) { return sort_key(a) < sort_key(b); });
    return found;
}

std::vector<event> merge_events(std::vector<std::vector<event>> const& lists)
{
    std::vector<event> merged;
    for (auto const& list : lists)
        merged.insert(merged.end(), list.begin(), list.end());
    std::sort(merged.begin(), merged.end(),
              [](event const& a, event const& b) { return sort_key(a) < sort_key(b); });
    merged.erase(std::unique(merged.begin(), merged.end(),
                             [](event const& a, event const& b)
                             { return sort_key(a) == sort_key(b); }),
                 merged.end());
    return merged;
}

} // namespace lagoonladder::observability
