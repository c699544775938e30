#include <lagoonladder/base/ini_document.hpp>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <sstream>

#include <ini.h>

namespace lagoonladder
{

namespace
{

// inih splits longer lines in two, so they are rejected before inih reads them.
constexpr std::size_t max_line_length = 198;

/// Passes the text to inih line by line. inih reports neither the line number of a key nor a
/// section without keys, so this class counts lines and detects section headers itself.
class line_feeder
{
public:
    line_feeder(ini_document& target, std::string const& text)
        : document(target)
        , input(text)
    {
    }

    static char* read_line(char* buffer, int size, void* self)
    {
        return static_cast<line_feeder*>(self)->next_line(buffer, size);
    }

    static int on_key(void* self, char const* section, char const* key, char const* value)
    {
        static_cast<line_feeder*>(self)->add_entry(section, key, value);
        return 1;
    }

    std::string const& failure() const { return this->first_failure; }

private:
    char* next_line(char* buffer, int size)
    {
        std::string text;
        if (!this->first_failure.empty() || !std::getline(this->input, text))
            return nullptr;
        ++this->line;
        if (!text.empty() && text.back() == '\r')
            text.pop_back();
        if (text.size() > max_line_length || static_cast<int>(text.size()) + 2 > size)
        {
            this->fail("the line is longer than " + std::to_string(max_line_length) + " bytes");
            return nullptr;
        }
        if (text.find('\0') != std::string::npos)
        {
            this->fail("the line contains a NUL byte");
            return nullptr;
        }
        auto const first = text.find_first_not_of(" \t");
        // inih would append an indented line to the value above, which would hide a misplaced key.
        if (first != std::string::npos && first > 0 && text[first] != ';' && text[first] != '#')
            text.erase(0, first);
        if (!text.empty() && text.front() == '[')
            this->open_section(text);
        text += '\n';
        std::memcpy(buffer, text.c_str(), text.size() + 1);
        return buffer;
    }

    void open_section(std::string const& text)
    {
        auto const end = text.find(']');
        if (end == std::string::npos)
            return;
        std::istringstream words(text.substr(1, end - 1));
        ini_section section;
        words >> section.kind >> std::ws;
        std::getline(words, section.name);
        section.name.erase(section.name.find_last_not_of(" \t") + 1);
        section.line = this->line;
        if (section.kind.empty())
            return this->fail("the section header is empty");
        if (auto const* first_section = this->document.find(section.kind, section.name))
            return this->fail("duplicate section [" + text.substr(1, end - 1) +
                              "], first on line " + std::to_string(first_section->line));
        this->document.sections.push_back(std::move(section));
    }

    void add_entry(std::string const& section, std::string const& key, std::string const& value)
    {
        if (!this->first_failure.empty())
            return;
        if (section.empty() || this->document.sections.empty())
            return this->fail("key \"" + key + "\" appears before any section");
        auto& current_section = this->document.sections.back();
        if (auto const* first_entry = current_section.find(key))
            return this->fail("duplicate key \"" + key + "\", first on line " +
                              std::to_string(first_entry->line));
        current_section.entries.push_back({key, value, this->line});
    }

    void fail(std::string const& message)
    {
        if (this->first_failure.empty())
            this->first_failure = locate(this->document.at(this->line), message);
    }

    ini_document& document;
    std::istringstream input;
    int line = 0;
    std::string first_failure;
};

} // namespace

ini_entry const* ini_section::find(std::string_view key) const
{
    auto const found = std::find_if(this->entries.begin(), this->entries.end(),
                                    [&](ini_entry const& entry) { return entry.key == key; });
    return found == this->entries.end() ? nullptr : &*found;
}

ini_section const* ini_document::find(std::string_view kind, std::string_view name) const
{
    auto const found = std::find_if(this->sections.begin(), this->sections.end(),
                                    [&](ini_section const& section)
                                    { return section.kind == kind && section.name == name; });
    return found == this->sections.end() ? nullptr : &*found;
}

void ini_document::require_known_keys(ini_section const& section,
                                      std::initializer_list<std::string_view> known_keys) const
{
    for (auto const& entry : section.entries)
    {
        if (std::find(known_keys.begin(), known_keys.end(), entry.key) == known_keys.end())
            throw parse_error(locate(this->at(entry.line), "unknown key \"" + entry.key +
                                                               "\" in section [" + section.kind +
                                                               (section.name.empty() ? "" : " ") +
                                                               section.name + "]"));
    }
}

ini_document parse_ini(std::string const& file, std::string const& text)
{
    ini_document document;
    document.file = file;
    line_feeder feeder(document, text);
    int const bad_line =
        ini_parse_stream(&line_feeder::read_line, &feeder, &line_feeder::on_key, &feeder);
    if (!feeder.failure().empty())
        throw parse_error(feeder.failure());
    if (bad_line != 0)
        throw parse_error(
            locate(document.at(bad_line), "expected \"key = value\" or \"[section]\""));
    return document;
}

ini_document load_ini(std::string const& path)
{
    std::ifstream input(path, std::ios::binary);
    if (!input)
        throw parse_error(path + ": cannot be read: " + std::strerror(errno));
    std::ostringstream text;
    text << input.rdbuf();
    return parse_ini(path, text.str());
}

} // namespace lagoonladder
