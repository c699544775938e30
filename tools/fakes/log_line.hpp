#ifndef LAGOONLADDER_FAKES_LOG_LINE_HPP
#define LAGOONLADDER_FAKES_LOG_LINE_HPP

#include <string>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::fakes
{

/// Writes one "time=... event=NAME key=value" line to standard error.
void log_line(std::string const& name, std::vector<event_field> const& fields = {});

} // namespace lagoonladder::fakes

#endif
