#ifndef LAGOONLADDER_COMPLETION_ENTRY_SELECTOR_HPP
#define LAGOONLADDER_COMPLETION_ENTRY_SELECTOR_HPP

#include <memory>
#include <mutex>
#include <optional>

#include <lagoonladder/completion/traffic_context.hpp>

namespace lagoonladder::completion
{

/// Selects entries for callers and companions for requests. The health of an entry is derived
/// from the heartbeats in successive views. Thread-safe.
class entry_selector
{
public:
    explicit entry_selector(traffic_context& shared_context)
        : context(shared_context)
    {
    }

    /// Entries that a caller should use, most suitable first.
    std::vector<connection::entry_record> list_for(control_view const& view,
                                                   std::string const& caller);

    /// Companion for a request; no value if there is no other entry.
    std::optional<connection::entry_record> companion_for(control_view const& view,
                                                          std::string const& key);

    /// The record of an entry in the view, regardless of its health; null if there is none.
    static connection::entry_record const* find(control_view const& view, vm_id const& vm);

private:
    /// Merges the entries of the view into the directory, at most once per update interval.
    connection::entry_directory& update(control_view const& view);

    traffic_context& context;
    std::mutex mutex;
    std::unique_ptr<connection::entry_directory> directory;
    std::optional<time_point> last_update;
};

} // namespace lagoonladder::completion

#endif
