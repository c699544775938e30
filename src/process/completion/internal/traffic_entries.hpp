#ifndef LAGOONLADDER_COMPLETION_TRAFFIC_ENTRIES_HPP
#define LAGOONLADDER_COMPLETION_TRAFFIC_ENTRIES_HPP

#include <memory>
#include <mutex>
#include <optional>

#include <lagoonladder/completion/traffic_context.hpp>

namespace lagoonladder::completion
{

/// The entries as callers and requests need them. It judges the health of an
/// entry by the heartbeats that successive views show. Safe to call from any thread.
class traffic_entries
{
public:
    explicit traffic_entries(traffic_context& shared)
        : context(shared)
    {
    }

    /// Entries for a caller, best first.
    std::vector<connection::entry_record> list_for(control_view const& view,
                                                   std::string const& caller);

    /// Companion for a request; no value when this entry is alone.
    std::optional<connection::entry_record> companion_for(control_view const& view,
                                                          std::string const& key);

    /// A row of the view, whatever its health.
    static connection::entry_record const* find(control_view const& view, vm_id const& vm);

private:
    connection::entry_directory& update(control_view const& view);

    traffic_context& context;
    std::mutex mutex;
    std::unique_ptr<connection::entry_directory> directory;
    std::optional<time_point> updated;
};

} // namespace lagoonladder::completion

#endif
