#include <lagoonladder/base/ini_section_reader.hpp>

#include <arpa/inet.h>

#include <charconv>
#include <sstream>

namespace lagoonladder
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

template <class Number>
Number checked_count(ini_section_reader const& reader, ini_entry const& entry, Number least,
                     Number most)
{
    auto const value = parse_number<Number>(entry.value);
    if (!value || *value < least || *value > most)
        reader.fail(entry, "must be a whole number from " + std::to_string(least) + " to " +
                               std::to_string(most));
    return *value;
}

/// Runs a parse function and adds file, line and key to its error.
template <class Parse>
auto located(ini_section_reader const& reader, ini_entry const& entry, Parse parse)
{
    try
    {
        return parse(entry.value);
    }
    catch (parse_error const& failure)
    {
        reader.fail(entry, failure.what());
    }
}

} // namespace

std::vector<std::string> split_list(std::string const& text)
{
    std::vector<std::string> parts;
    std::istringstream input(text);
    for (std::string part; std::getline(input, part, ',');)
    {
        auto const first = part.find_first_not_of(' ');
        if (first != std::string::npos)
            parts.push_back(part.substr(first, part.find_last_not_of(' ') - first + 1));
    }
    return parts;
}

network_address parse_network_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    auto const port = colon == std::string::npos
                          ? std::nullopt
                          : parse_number<std::uint16_t>(text.substr(colon + 1));
    in_addr host{};
    if (!port || *port == 0 || inet_pton(AF_INET, text.substr(0, colon).c_str(), &host) != 1)
        throw parse_error("\"" + text + "\" is not an address such as 127.0.0.1:8101");
    return network_address(text);
}

ini_section_reader::ini_section_reader(ini_document const& file, ini_section const& source)
    : document(file)
    , section(&source)
    , title(source.kind + (source.name.empty() ? "" : " ") + source.name)
{
}

ini_section_reader::ini_section_reader(ini_document const& file, std::string kind)
    : document(file)
    , section(file.find(kind))
    , title(std::move(kind))
{
}

ini_entry const* ini_section_reader::find(char const* key) const
{
    return this->section ? this->section->find(key) : nullptr;
}

void ini_section_reader::read(char const* key, std::string& target) const
{
    if (auto const* entry = this->find(key))
        target = entry->value;
}

void ini_section_reader::read(char const* key, bool& target) const
{
    this->read_choice(key, target, "true", true, "false", false);
}

void ini_section_reader::read(char const* key, std::optional<wall_time>& target) const
{
    if (auto const* entry = this->find(key))
        target = located(*this, *entry, parse_wall_time);
}

void ini_section_reader::read(char const* key, duration& target, duration least,
                              duration most) const
{
    auto const* entry = this->find(key);
    if (entry == nullptr)
        return;
    target = located(*this, *entry, parse_duration);
    if (target < least || target > most)
        this->fail(*entry,
                   "must be from " + format_duration(least) + " to " + format_duration(most));
}

void ini_section_reader::read(char const* key, network_address& target) const
{
    if (auto const* entry = this->find(key))
        target = located(*this, *entry, parse_network_address);
}

void ini_section_reader::read(char const* key, std::vector<network_address>& target) const
{
    auto const* entry = this->find(key);
    if (entry == nullptr)
        return;
    target.clear();
    for (auto const& part : split_list(entry->value))
        target.push_back(located(*this, *entry,
                                 [&](std::string const&) { return parse_network_address(part); }));
}

void ini_section_reader::read_number(char const* key, double& target, double least,
                                     double most) const
{
    auto const* entry = this->find(key);
    if (entry == nullptr)
        return;
    auto const value = parse_number<double>(entry->value);
    if (!value || !(*value >= least && *value <= most))
        this->fail(*entry,
                   "must be a number from " + short_number(least) + " to " + short_number(most));
    target = *value;
}

void ini_section_reader::read_count(char const* key, std::uint32_t& target, std::uint32_t least,
                                    std::uint32_t most) const
{
    if (auto const* entry = this->find(key))
        target = checked_count(*this, *entry, least, most);
}

void ini_section_reader::read_count(char const* key, std::uint64_t& target, std::uint64_t least,
                                    std::uint64_t most) const
{
    if (auto const* entry = this->find(key))
        target = checked_count(*this, *entry, least, most);
}

void ini_section_reader::read_bytes(char const* key, std::uint64_t& target, std::uint64_t least,
                                    std::uint64_t most) const
{
    auto const* entry = this->find(key);
    if (entry == nullptr)
        return;
    target = located(*this, *entry, parse_byte_count);
    if (target < least || target > most)
        this->fail(*entry, "must be from " + std::to_string(least) + " B to " +
                               std::to_string(most) + " B");
}

std::string const& ini_section_reader::require(char const* key) const
{
    auto const* entry = this->find(key);
    if (entry == nullptr)
        this->fail("key \"" + std::string(key) + "\" is missing");
    if (entry->value.empty())
        this->fail(*entry, "must not be empty");
    return entry->value;
}

void ini_section_reader::fail(ini_entry const& entry, std::string const& message) const
{
    throw parse_error(
        locate(this->document.at(entry.line), "key \"" + entry.key + "\": " + message));
}

void ini_section_reader::fail(std::string const& message) const
{
    int const line = this->section ? this->section->line : 1;
    throw parse_error(locate(this->document.at(line), "section [" + this->title + "]: " + message));
}

void ini_section_reader::fail_at(char const* key, std::string const& message) const
{
    if (auto const* entry = this->find(key))
        this->fail(*entry, message);
    this->fail(message);
}

} // namespace lagoonladder
