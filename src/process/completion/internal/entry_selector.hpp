#ifndef LAGOONLADDER_COMPLETION_ENTRY_SELECTOR_HPP
#define LAGOONLADDER_COMPLETION_ENTRY_SELECTOR_HPP

#include <optional>
#include <string>
#include <vector>

#include <lagoonladder/completion/traffic_context.hpp>

namespace lagoonladder::completion
{

/// Selects entries for callers and companions for requests from the directory of a view, which the
/// control thread keeps up to date. Thread-safe.
class entry_selector
{
public:
    explicit entry_selector(traffic_context& shared_context)
        : context(shared_context)
    {
    }

    /// Entries that a caller should use, most suitable first.
    std::vector<connection::entry_record> list_for(control_view const& view,
                                                   std::string const& caller) const;

    /// Companion for a request; no value if there is no other entry.
    std::optional<connection::entry_record> companion_for(control_view const& view,
                                                          std::string const& key) const;

    /// The record of an entry in the view, regardless of its health; null if there is none.
    static connection::entry_record const* find(control_view const& view, vm_id const& vm);

private:
    traffic_context& context;
};

} // namespace lagoonladder::completion

#endif
