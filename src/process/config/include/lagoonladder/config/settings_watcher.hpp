#ifndef LAGOONLADDER_CONFIG_SETTINGS_WATCHER_HPP
#define LAGOONLADDER_CONFIG_SETTINGS_WATCHER_HPP

#include <optional>
#include <string>

#include <lagoonladder/config/settings.hpp>

namespace lagoonladder::config
{

/// Detects changes of the settings file. A file that is not valid is reported once as an event,
/// and the current settings stay in force.
class settings_watcher
{
public:
    settings_watcher(std::string path, settings initial_settings, event_sink& events);

    /// Reads the file and returns the settings if they have changed and are valid. When the
    /// operator requested the reload (`is_requested`), an unchanged or unreadable file is also
    /// reported as an event.
    std::optional<settings> poll(bool is_requested);

private:
    std::string const path;
    settings current_settings;
    std::string current_text;
    std::string rejected_text;
    event_sink& events;
};

} // namespace lagoonladder::config

#endif
