#ifndef LAGOONLADDER_BASE_INI_DOCUMENT_HPP
#define LAGOONLADDER_BASE_INI_DOCUMENT_HPP

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonladder/base/error.hpp>

namespace lagoonladder
{

struct ini_entry
{
    std::string key;
    std::string value;
    int line = 0;
};

struct ini_section
{
    /// First word of the header, for example "service" in "[service booking]".
    std::string kind;
    /// Rest of the header; empty in "[vm]".
    std::string name;
    int line = 0;
    std::vector<ini_entry> entries;

    /// Returns nullptr when the section has no such key.
    ini_entry const* find(std::string_view key) const;
};

/// A parsed INI file with the line number of each section and key.
struct ini_document
{
    std::string file;
    std::vector<ini_section> sections;

    /// Returns nullptr when there is no such section.
    ini_section const* find(std::string_view kind, std::string_view name = {}) const;
    source_location at(int line) const { return {this->file, line}; }

    /// Throws parse_error, which names file and line, if the section has a key that is not in
    /// `known_keys`.
    void require_known_keys(ini_section const& section,
                            std::initializer_list<std::string_view> known_keys) const;
};

/// Parses INI text; `file` is its name for error messages. Throws parse_error naming file and
/// line for a malformed or too long line, a duplicate section, a duplicate key or a key before
/// any section.
ini_document parse_ini(std::string const& file, std::string const& text);

/// Reads and parses a file. Throws parse_error when it cannot be read.
ini_document load_ini(std::string const& path);

} // namespace lagoonladder

#endif
