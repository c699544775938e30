#include "section_reader.hpp"

#include <charconv>
#include <cmath>

namespace lagoonladder::version
{

namespace
{

template <class Number>
std::optional<Number> parse_number(std::string const& text)
{
    Number value{};
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return value;
}

std::string short_number(double value)
{
    auto text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
        text.pop_back();
    return text;
}

} // namespace

void section_reader::read(char const* key, std::string& target) const
{
    if (auto const* entry = this->section.find(key))
        target = entry->value;
}

void section_reader::read(char const* key, duration& target) const
{
    auto const* entry = this->section.find(key);
    if (entry == nullptr)
        return;
    try
    {
        target = parse_duration(entry->value);
    }
    catch (parse_error const& failure)
    {
        this->fail(*entry, failure.what());
    }
    // A longer span could overflow when it is added to a time.
    if (target <= duration(0) || target > std::chrono::hours(24 * 365))
        this->fail(*entry, "must be more than 0 and at most 8760 h");
}

void section_reader::read(char const* key, bool& target) const
{
    this->read_choice(key, target, "true", true, "false", false);
}

void section_reader::read(char const* key, std::optional<wall_time>& target) const
{
    auto const* entry = this->section.find(key);
    if (entry == nullptr)
        return;
    try
    {
        target = parse_wall_time(entry->value);
    }
    catch (parse_error const& failure)
    {
        this->fail(*entry, failure.what());
    }
}

void section_reader::read_number(char const* key, double& target, double least, double most) const
{
    auto const* entry = this->section.find(key);
    if (entry == nullptr)
        return;
    auto const value = parse_number<double>(entry->value);
    if (!value || !(*value >= least && *value <= most))
        this->fail(*entry,
                   "must be a number from " + short_number(least) + " to " + short_number(most));
    target = *value;
}

void section_reader::read_count(char const* key, std::uint32_t& target, std::uint32_t least,
                                std::uint32_t most) const
{
    auto const* entry = this->section.find(key);
    if (entry == nullptr)
        return;
    auto const value = parse_number<std::uint32_t>(entry->value);
    if (!value || *value < least || *value > most)
        this->fail(*entry, "must be a whole number from " + std::to_string(least) + " to " +
                               std::to_string(most));
    target = *value;
}

std::string const& section_reader::require(char const* key) const
{
    auto const* entry = this->section.find(key);
    if (entry == nullptr)
        this->fail("key \"" + std::string(key) + "\" is missing");
    if (entry->value.empty())
        this->fail(*entry, "must not be empty");
    return entry->value;
}

void section_reader::fail(ini_entry const& entry, std::string const& message) const
{
    throw configuration_error(
        locate(this->document.at(entry.line), "key \"" + entry.key + "\": " + message));
}

void section_reader::fail(std::string const& message) const
{
    auto const space = this->section.name.empty() ? "" : " ";
    throw configuration_error(
        locate(this->document.at(this->section.line),
               "section [" + this->section.kind + space + this->section.name + "]: " + message));
}

void section_reader::fail_at(char const* key, std::string const& message) const
{
    if (auto const* entry = this->section.find(key))
        this->fail(*entry, message);
    this->fail(message);
}

} // namespace lagoonladder::version
