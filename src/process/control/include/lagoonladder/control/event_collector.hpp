#ifndef LAGOONLADDER_CONTROL_EVENT_COLLECTOR_HPP
#define LAGOONLADDER_CONTROL_EVENT_COLLECTOR_HPP

#include <vector>

#include <lagoonladder/config.hpp>
#include <lagoonladder/connection.hpp>
#include <lagoonladder/observability.hpp>

#include <lagoonladder/control/peer_channels.hpp>

namespace lagoonladder::control
{

/// Merged events of all entries.
struct collected_events
{
    /// The newest events of all daemons, oldest first, without duplicates.
    std::vector<event> events;
    /// Entries that did not reply in time.
    std::vector<vm_id> unreachable;
};

/// Queries all entries in parallel for events later than `since` and merges the replies. Blocks for
/// at most two seconds.
collected_events collect_events(config::settings const& config,
                                observability::event_timeline const& local_events,
                                peer_channels& peers,
                                std::vector<connection::entry_record> const& entries,
                                hybrid_timestamp since, std::size_t limit);

} // namespace lagoonladder::control

#endif
