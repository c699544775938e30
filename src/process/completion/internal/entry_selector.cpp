#include <entry_selector.hpp>

#include <algorithm>

namespace lagoonladder::completion
{

namespace
{

constexpr std::size_t max_listed_entries = 8;

} // namespace

connection::entry_record const* entry_selector::find(control_view const& view, vm_id const& vm)
{
    auto const found = std::find_if(view.entries.begin(), view.entries.end(),
                                    [&vm](auto const& entry) { return entry.vm == vm; });
    return found == view.entries.end() ? nullptr : &*found;
}

std::vector<connection::entry_record> entry_selector::list_for(control_view const& view,
                                                               std::string const& caller) const
{
    if (!view.directory)
        return {};
    return view.directory->list_for(this->context.time.now(), caller, max_listed_entries);
}

std::optional<connection::entry_record> entry_selector::companion_for(control_view const& view,
                                                                      std::string const& key) const
{
    if (!view.directory)
        return std::nullopt;
    return view.directory->companion_for(this->context.time.now(), key);
}

} // namespace lagoonladder::completion
