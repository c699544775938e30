#ifndef LAGOONLADDER_VERSION_USAGE_COMMANDS_HPP
#define LAGOONLADDER_VERSION_USAGE_COMMANDS_HPP

#include <vector>

#include <lagoonladder/version/control_state.hpp>

namespace lagoonladder::version
{

/// Returns the windows of `report` from `first_open` on whose counts differ from `committed`.
/// `committed` is the report of this entry that was committed last.
usage_report changed_usage(usage_report const& report, usage_report const& committed,
                           std::uint64_t first_open);

/// Distributes the reports over commands of at most about max_content_part_bytes. Only a
/// single report may be larger.
std::vector<add_usage> make_usage_commands(std::vector<usage_report> const& reports);

} // namespace lagoonladder::version

#endif
