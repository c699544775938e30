#ifndef LAGOONLADDER_VERSION_SECTION_READER_HPP
#define LAGOONLADDER_VERSION_SECTION_READER_HPP

#include <string>

#include <lagoonladder/version/configuration.hpp>

namespace lagoonladder::version
{

/// Reads typed values of one section; every error names file and line.
class section_reader
{
public:
    section_reader(ini_document const& file, ini_section const& source)
        : document(file)
        , section(source)
    {
    }

    /// Each read function leaves `target` alone when the key is not there.
    void read(char const* key, std::string& target) const;
    void read(char const* key, duration& target) const;
    void read(char const* key, bool& target) const;
    void read(char const* key, std::optional<wall_time>& target) const;

    /// A number between `least` and `most`.
    void read_number(char const* key, double& target, double least, double most) const;
    void read_count(char const* key, std::uint32_t& target, std::uint32_t least,
                    std::uint32_t most) const;

    /// One of two words.
    template <class Enum>
    void read_choice(char const* key, Enum& target, char const* first_word, Enum first,
                     char const* second_word, Enum second) const
    {
        auto const* entry = this->section.find(key);
        if (entry == nullptr)
            return;
        if (entry->value != first_word && entry->value != second_word)
            this->fail(*entry, std::string("must be ") + first_word + " or " + second_word);
        target = entry->value == first_word ? first : second;
    }

    /// Throws configuration_error when the key is missing or empty.
    std::string const& require(char const* key) const;

    [[noreturn]] void fail(ini_entry const& entry, std::string const& message) const;
    [[noreturn]] void fail(std::string const& message) const;
    /// Reports at the line of the key, or of the section when the key is missing.
    [[noreturn]] void fail_at(char const* key, std::string const& message) const;

private:
    ini_document const& document;
    ini_section const& section;
};

} // namespace lagoonladder::version

#endif
