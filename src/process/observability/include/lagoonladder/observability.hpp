#ifndef LAGOONLADDER_OBSERVABILITY_HPP
#define LAGOONLADDER_OBSERVABILITY_HPP

/// Public header of the observability library: log lines, metrics and the
/// event timeline.

#include <lagoonladder/observability/event_timeline.hpp>
#include <lagoonladder/observability/log.hpp>
#include <lagoonladder/observability/log_rate_limiter.hpp>
#include <lagoonladder/observability/loop_lag.hpp>
#include <lagoonladder/observability/metrics.hpp>

#endif
