#ifndef LAGOONLADDER_CONNECTION_CALLER_ENTRIES_HPP
#define LAGOONLADDER_CONNECTION_CALLER_ENTRIES_HPP

#include <cstddef>
#include <vector>

#include <lagoonladder/connection/entry_record.hpp>

namespace lagoonladder::connection
{

/// At most `most` of the entries, for callers of one zone: first those of the zone, then others.
///
/// All callers of a zone get the same entries from each daemon that knows the same ones, so that
/// they keep their connections. Where not all entries fit, each entry is in the lists of equally
/// many zones, up to one, so that none is left without callers.
std::vector<entry_record> entries_for_callers(std::vector<entry_record> const& entries,
                                              zone_id const& zone, std::size_t most);

} // namespace lagoonladder::connection

#endif
