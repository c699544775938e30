#ifndef LAGOONLADDER_CONFIG_SETTINGS_WATCHER_HPP
#define LAGOONLADDER_CONFIG_SETTINGS_WATCHER_HPP

#include <optional>
#include <string>

#include <lagoonladder/config/settings.hpp>

namespace lagoonladder::config
{

/// Notices changes of the settings file. A file that is not valid is logged once and
/// changes nothing.
class settings_watcher
{
public:
    settings_watcher(std::string path, settings current, event_sink& events);

    /// Reads the file. Returns the settings when they have changed and are valid.
    /// `is_requested` logs the outcome also when nothing has changed.
    std::optional<settings> poll(bool is_requested);

private:
    std::string const path;
    settings latest;
    std::string latest_text;
    std::string rejected_text;
    event_sink& events;
};

} // namespace lagoonladder::config

#endif
