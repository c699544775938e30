#ifndef LAGOONLADDER_VERSION_FIGURE_TEXT_HPP
#define LAGOONLADDER_VERSION_FIGURE_TEXT_HPP

#include <string>

#include <lagoonladder/version/traffic_sample.hpp>

#include "sequential_test.hpp"

namespace lagoonladder::version
{

/// Texts of the figures of a move. The parse functions take damaged text as zero:
/// a figure only shortens the work of a new leader.

/// "12/40"
std::string ratio_text(event_count const& count);
event_count parse_ratio(std::string const& text);

/// Two digits after the point.
std::string number_text(double value);
double parse_figure(std::string const& text);

/// "below 512 ms", "none" without calls.
std::string p95_text(latency_histogram const& histogram);

/// Buckets that are not empty, as "5:12 6:300".
std::string histogram_text(latency_histogram const& histogram);
latency_histogram parse_histogram(std::string const& text);

} // namespace lagoonladder::version

#endif
