#ifndef LAGOONLADDER_VERSION_USAGE_COMMANDS_HPP
#define LAGOONLADDER_VERSION_USAGE_COMMANDS_HPP

#include <vector>

#include <lagoonladder/version/control_state.hpp>

namespace lagoonladder::version
{

/// The windows of `report` from `first_open` on whose counts differ from those in `noted`.
usage_report changed_usage(usage_report const& report, usage_report const& noted,
                           std::uint64_t first_open);

/// Commands with all reports. Each is at most about max_content_part_bytes long, as far as
/// single reports allow.
std::vector<add_usage> make_usage_commands(std::vector<usage_report> const& reports);

} // namespace lagoonladder::version

#endif
