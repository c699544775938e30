#ifndef LAGOONLADDER_DAEMON_HOME_ENTRIES_HPP
#define LAGOONLADDER_DAEMON_HOME_ENTRIES_HPP

#include <map>
#include <set>
#include <vector>

#include <lagoonladder/base/region.hpp>
#include <lagoonladder/connection.hpp>

namespace lagoonladder::daemon
{

/// Keeps the entries in a home region or in the caller's region. Keeps all entries if there are no
/// home regions, or if no entry is in one of these regions.
void keep_home_entries(std::set<region_id> home_regions, region_id const& caller_region,
                       std::map<data_centre_id, region_id> const& regions,
                       std::vector<connection::entry_record>& entries);

} // namespace lagoonladder::daemon

#endif
