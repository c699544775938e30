#ifndef LAGOONLADDER_CONTROL_EVENT_COLLECTOR_HPP
#define LAGOONLADDER_CONTROL_EVENT_COLLECTOR_HPP

#include <vector>

#include <lagoonladder/config.hpp>
#include <lagoonladder/connection.hpp>
#include <lagoonladder/observability.hpp>

#include <lagoonladder/control/peer_channels.hpp>

namespace lagoonladder::control
{

struct collected_events
{
    /// Oldest first, without duplicates; the newest of all daemons.
    std::vector<event> events;
    /// Entries that did not answer in time.
    std::vector<vm_id> unreachable;
};

/// Asks all entries for their events later than `since` at the same time and
/// merges the answers. Blocks for at most two seconds.
collected_events collect_events(config::settings const& config,
                                observability::event_timeline const& own, peer_channels& peers,
                                std::vector<connection::entry_record> const& entries,
                                hybrid_timestamp since, std::size_t limit);

} // namespace lagoonladder::control

#endif
