#include <entry_selector.hpp>

#include <algorithm>

namespace lagoonladder::completion
{

namespace
{

// Shorter than a gossip interval, so that heartbeats are noticed as they arrive, and long
// enough that the records are not compared for every request.
constexpr duration update_interval = milliseconds(50);

constexpr std::size_t max_listed_entries = 8;

} // namespace

connection::entry_record const* entry_selector::find(control_view const& view, vm_id const& vm)
{
    auto const found = std::find_if(view.entries.begin(), view.entries.end(),
                                    [&vm](auto const& entry) { return entry.vm == vm; });
    return found == view.entries.end() ? nullptr : &*found;
}

connection::entry_directory& entry_selector::update(control_view const& view)
{
    auto const now = this->context.time.now();
    auto const& config = this->context.config;
    if (!this->directory)
    {
        connection::entry_record own_record;
        own_record.vm = config.vm;
        own_record.data_centre = config.data_centre;
        own_record.zone = config.zone;
        own_record.http = config.http;
        own_record.control = config.control;
        if (auto const* listed_record = find(view, config.vm))
            own_record = *listed_record;
        this->directory = std::make_unique<connection::entry_directory>(own_record);
    }
    if (view.leaving && this->directory->own().state != connection::entry_state::leaving)
        this->directory->set_leaving(now, config.vm);
    if (!this->last_update || now - *this->last_update >= update_interval)
    {
        this->directory->merge(now, view.entries);
        this->directory->expire(now);
        this->last_update = now;
    }
    return *this->directory;
}

std::vector<connection::entry_record> entry_selector::list_for(control_view const& view,
                                                               std::string const& caller)
{
    std::lock_guard const lock(this->mutex);
    return this->update(view).list_for(this->context.time.now(), caller, max_listed_entries);
}

std::optional<connection::entry_record> entry_selector::companion_for(control_view const& view,
                                                                      std::string const& key)
{
    std::lock_guard const lock(this->mutex);
    return this->update(view).companion_for(this->context.time.now(), key);
}

} // namespace lagoonladder::completion
