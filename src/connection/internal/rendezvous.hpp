#ifndef LAGOONLADDER_CONNECTION_RENDEZVOUS_HPP
#define LAGOONLADDER_CONNECTION_RENDEZVOUS_HPP

#include <string_view>
#include <vector>

#include <lagoonladder/connection/entry_record.hpp>

namespace lagoonladder::connection
{

/// Sorts the entries by descending hash of key and VM id; the order is the same in every process.
std::vector<entry_record> rendezvous_order(std::vector<entry_record> entries, std::string_view key);

/// Alternates between the data centres, in the order of their first entry, and keeps the order
/// within each.
std::vector<entry_record> spread_over_data_centres(std::vector<entry_record> const& ordered);

} // namespace lagoonladder::connection

#endif
