#include <lagoonladder/config/settings_watcher.hpp>

#include <fstream>
#include <sstream>

namespace lagoonladder::config
{

namespace
{

std::optional<std::string> read_file(std::string const& path)
{
    std::ifstream input(path, std::ios::binary);
    std::ostringstream text;
    text << input.rdbuf();
    if (!input)
        return std::nullopt;
    return text.str();
}

} // namespace

settings_watcher::settings_watcher(std::string file, settings initial_settings, event_sink& sink)
    : path(std::move(file))
    , current_settings(std::move(initial_settings))
    , current_text(read_file(path).value_or(""))
    , events(sink)
{
}

std::optional<settings> settings_watcher::poll(bool is_requested)
{
    auto const text = read_file(this->path);
    if (!text)
    {
        // The file may be in the middle of a replacement; the next poll reads the new one.
        if (is_requested)
            this->events.emit(severity::warning, "settings.unreadable", {{"path", this->path}});
        return std::nullopt;
    }
    if (*text == this->current_text || *text == this->rejected_text)
    {
        if (is_requested)
            this->events.emit(severity::info, "settings.unchanged", {{"path", this->path}});
        return std::nullopt;
    }
    try
    {
        this->current_settings = parse_settings(this->path, *text);
    }
    catch (settings_error const& problem)
    {
        this->rejected_text = *text;
        this->events.emit(severity::error, "settings.rejected", {{"reason", problem.what()}});
        return std::nullopt;
    }
    this->current_text = *text;
    this->rejected_text.clear();
    this->events.emit(severity::info, "settings.reloaded", {{"path", this->path}});
    return this->current_settings;
}

} // namespace lagoonladder::config
