#ifndef LAGOONLADDER_CONNECTION_CALLER_ENTRIES_HPP
#define LAGOONLADDER_CONNECTION_CALLER_ENTRIES_HPP

#include <cstddef>
#include <vector>

#include <lagoonladder/connection/entry_record.hpp>

namespace lagoonladder::connection
{

/// Returns at most `max_entries` entries for the callers of a zone: first the entries of that
/// zone, then entries of other zones.
///
/// Daemons that know the same entries return the same list for a zone, so that callers keep their
/// connections when they ask another entry. When a list cannot hold all entries, each entry is in
/// the lists of about equally many zones (the numbers differ by at most one), so that every entry
/// has callers.
std::vector<entry_record> entries_for_callers(std::vector<entry_record> const& entries,
                                              zone_id const& zone, std::size_t max_entries);

} // namespace lagoonladder::connection

#endif
