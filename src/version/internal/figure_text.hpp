#ifndef LAGOONLADDER_VERSION_FIGURE_TEXT_HPP
#define LAGOONLADDER_VERSION_FIGURE_TEXT_HPP

#include <string>

#include <lagoonladder/version/traffic_sample.hpp>

#include "sequential_test.hpp"

namespace lagoonladder::version
{

/// Names of figures with requests that were sent to the new and to the old version, and that the
/// new version may get.
inline std::string const sent_candidate_figure = "sent_new";
inline std::string const sent_stable_figure = "sent_old";
inline std::string const exposure_limit_figure = "exposure_limit";

/// Conversion of the figures of a move to text and back. The parse functions return zero for
/// damaged text, because a new leader can also work without earlier figures.

/// Returns events and total, for example "12/40".
std::string ratio_text(event_count const& count);
event_count parse_ratio(std::string const& text);

/// Returns the number rounded to an integer.
std::string count_text(double value);

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
