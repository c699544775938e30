#ifndef LAGOONLADDER_BASE_EVENT_HPP
#define LAGOONLADDER_BASE_EVENT_HPP

#include <string>
#include <utility>
#include <vector>

#include <lagoonladder/base/clock.hpp>
#include <lagoonladder/base/strong_type.hpp>

namespace lagoonladder
{

enum class severity
{
    debug,
    info,
    warning,
    error
};

struct event_field
{
    std::string key;
    std::string value;
};

/// An occurrence that is written as one log line and kept in the event timeline.
struct event
{
    hybrid_timestamp when;
    vm_id vm;
    severity level = severity::info;
    /// Dotted name, such as "move.reversed".
    std::string name;
    std::vector<event_field> fields;
};

/// Receives events; implementations may be called from any thread.
class event_sink
{
public:
    virtual ~event_sink() = default;
    virtual void emit(severity level, std::string name, std::vector<event_field> fields) = 0;
};

/// Discards events; for tests and embedders without a log.
class null_event_sink : public event_sink
{
public:
    void emit(severity, std::string, std::vector<event_field>) override {}
};

} // namespace lagoonladder

#endif
