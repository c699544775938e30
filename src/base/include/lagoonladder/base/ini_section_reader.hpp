#ifndef LAGOONLADDER_BASE_INI_SECTION_READER_HPP
#define LAGOONLADDER_BASE_INI_SECTION_READER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <lagoonladder/base/ini_document.hpp>
#include <lagoonladder/base/strong_type.hpp>
#include <lagoonladder/base/units.hpp>

namespace lagoonladder
{

/// Reads typed values of one INI section. Each read function leaves `target`
/// unchanged when the key is missing, and throws parse_error naming file, line and
/// key when its value is not valid. Bounds are inclusive.
class ini_section_reader
{
public:
    ini_section_reader(ini_document const& parsed_document, ini_section const& source_section);

    /// Reads the section of this kind without a name; if it is missing, so are all its keys.
    ini_section_reader(ini_document const& parsed_document, std::string kind);

    void read(char const* key, std::string& target) const;
    void read(char const* key, bool& target) const;
    void read(char const* key, std::optional<wall_time>& target) const;
    void read(char const* key, duration& target, duration min_value = duration(1),
              duration max_value = std::chrono::hours(24 * 365)) const;
    /// Reads an address such as "127.0.0.1:8101".
    void read(char const* key, network_address& target) const;
    /// Reads a comma-separated list of addresses.
    void read(char const* key, std::vector<network_address>& target) const;

    void read_number(char const* key, double& target, double min_value, double max_value) const;
    void read_count(char const* key, std::uint32_t& target, std::uint32_t min_value,
                    std::uint32_t max_value) const;
    void read_count(char const* key, std::uint64_t& target, std::uint64_t min_value,
                    std::uint64_t max_value) const;
    void read_bytes(char const* key, std::uint64_t& target, std::uint64_t min_value,
                    std::uint64_t max_value) const;

    /// Reads a value that must be one of two words.
    template <class Enum>
    void read_choice(char const* key, Enum& target, char const* first_word, Enum first,
                     char const* second_word, Enum second) const
    {
        auto const* entry = this->find(key);
        if (entry == nullptr)
            return;
        if (entry->value != first_word && entry->value != second_word)
            this->fail(*entry, std::string("must be ") + first_word + " or " + second_word);
        target = entry->value == first_word ? first : second;
    }

    /// Returns nullptr when the key is missing.
    ini_entry const* find(char const* key) const;

    /// Throws parse_error when the key is missing or empty.
    std::string const& require(char const* key) const;

    /// Throws parse_error with the line and key of the entry.
    [[noreturn]] void fail(ini_entry const& entry, std::string const& message) const;
    /// Throws parse_error with the line of the section.
    [[noreturn]] void fail(std::string const& message) const;
    /// Throws parse_error with the line of the key, or of the section when the key is missing.
    [[noreturn]] void fail_at(char const* key, std::string const& message) const;

private:
    ini_document const& document;
    ini_section const* section;
    /// Kind and name of the section, for error messages.
    std::string title;
};

/// Splits a comma-separated list; trims spaces and omits empty elements.
std::vector<std::string> split_list(std::string const& text);

/// Parses an address of the form "IPv4:port". Throws parse_error.
network_address parse_network_address(std::string const& text);

} // namespace lagoonladder

#endif
