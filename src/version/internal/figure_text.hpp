#ifndef LAGOONLADDER_VERSION_FIGURE_TEXT_HPP
#define LAGOONLADDER_VERSION_FIGURE_TEXT_HPP

#include <string>

#include <lagoonladder/version/traffic_sample.hpp>

#include "sequential_test.hpp"

namespace lagoonladder::version
{

/// Conversion of the figures of a move to text and back. The parse functions return zero for
/// damaged text, because a new leader can also work without earlier figures.

/// Returns events and total, for example "12/40".
std::string ratio_text(event_count const& count);
event_count parse_ratio(std::string const& text);

/// Returns the number with two digits after the point.
std::string number_text(double value);
double parse_number(std::string const& text);

/// Returns for example "below 512 ms", or "none" without calls.
std::string p95_text(latency_histogram const& histogram);

/// Returns the non-empty buckets with their counts, for example "5:12 6:300".
std::string histogram_text(latency_histogram const& histogram);
latency_histogram parse_histogram(std::string const& text);

} // namespace lagoonladder::version

#endif
