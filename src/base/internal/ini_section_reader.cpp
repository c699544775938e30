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

std::string format_number(double value)
{
    auto text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
        text.pop_back();
    return text;
}

template <class Number>
Number parse_count(ini_section_reader const& reader, ini_entry const& entry, Number min_value,
                   Number max_value)
{
    auto const value = parse_number<Number>(entry.value);
    if (!value || *value < min_value || *value > max_value)
        reader.fail(entry, "must be a whole number from " + std::to_string(min_value) + " to " +
                               std::to_string(max_value));
    return *value;
}

/// Calls a parse function on the value of an entry; adds file, line and key to its errors.
template <class Parse>
auto parse_with_location(ini_section_reader const& reader, ini_entry const& entry, Parse parse)
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

ini_section_reader::ini_section_reader(ini_document const& parsed_document,
                                       ini_section const& source_section)
    : document(parsed_document)
    , section(&source_section)
    , title(source_section.kind + (source_section.name.empty() ? "" : " ") + source_section.name)
{
}

ini_section_reader::ini_section_reader(ini_document const& parsed_document, std::string kind)
    : document(parsed_document)
    , section(parsed_document.find(kind))
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
        target = parse_with_location(*this, *entry, parse_wall_time);
}

void ini_section_reader::read(char const* key, duration& target, duration min_value,
                              duration max_value) const
{
    auto const* entry = this->find(key);
    if (entry == nullptr)
        return;
    target = parse_with_location(*this, *entry, parse_duration);
    if (target < min_value || target > max_value)
        this->fail(*entry, "must be from " + format_duration(min_value) + " to " +
                               format_duration(max_value));
}

void ini_section_reader::read(char const* key, network_address& target) const
{
    if (auto const* entry = this->find(key))
        target = parse_with_location(*this, *entry, parse_network_address);
}

void ini_section_reader::read(char const* key, std::vector<network_address>& target) const
{
    auto const* entry = this->find(key);
    if (entry == nullptr)
        return;
    target.clear();
    for (auto const& part : split_list(entry->value))
        target.push_back(parse_with_location(
            *this, *entry, [&](std::string const&) { return parse_network_address(part); }));
}

void ini_section_reader::read_number(char const* key, double& target, double min_value,
                                     double max_value) const
{
    auto const* entry = this->find(key);
    if (entry == nullptr)
        return;
    auto const value = parse_number<double>(entry->value);
    if (!value || !(*value >= min_value && *value <= max_value))
        this->fail(*entry, "must be a number from " + format_number(min_value) + " to " +
                               format_number(max_value));
    target = *value;
}

void ini_section_reader::read_count(char const* key, std::uint32_t& target, std::uint32_t min_value,
                                    std::uint32_t max_value) const
{
    if (auto const* entry = this->find(key))
        target = parse_count(*this, *entry, min_value, max_value);
}

void ini_section_reader::read_count(char const* key, std::uint64_t& target, std::uint64_t min_value,
                                    std::uint64_t max_value) const
{
    if (auto const* entry = this->find(key))
        target = parse_count(*this, *entry, min_value, max_value);
}

void ini_section_reader::read_bytes(char const* key, std::uint64_t& target, std::uint64_t min_value,
                                    std::uint64_t max_value) const
{
    auto const* entry = this->find(key);
    if (entry == nullptr)
        return;
    target = parse_with_location(*this, *entry, parse_byte_count);
    if (target < min_value || target > max_value)
        this->fail(*entry, "must be from " + std::to_string(min_value) + " B to " +
                               std::to_string(max_value) + " B");
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
