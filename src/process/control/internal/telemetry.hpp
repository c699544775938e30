#ifndef LAGOONLADDER_CONTROL_TELEMETRY_HPP
#define LAGOONLADDER_CONTROL_TELEMETRY_HPP

#include <grpcpp/grpcpp.h>

#include <lagoonladder/observability.hpp>

namespace lagoonladder::control
{

/// Sinks for events and metrics, and the clock for their timestamps.
struct telemetry
{
    event_sink& events;
    observability::metrics& metrics;
    clock const& time;
};

/// Metric label value for the outcome of a call to another daemon.
inline char const* call_outcome(grpc::Status const& status)
{
    if (status.ok())
        return "answered";
    return status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED ? "timed_out" : "failed";
}

/// Number of complete milliseconds, for event fields.
inline std::string milliseconds_text(duration value)
{
    return std::to_string(value / milliseconds(1));
}

} // namespace lagoonladder::control

#endif
