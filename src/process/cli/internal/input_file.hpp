#ifndef LAGOONLADDER_CLI_INPUT_FILE_HPP
#define LAGOONLADDER_CLI_INPUT_FILE_HPP

#include <string>

namespace lagoonladder::cli
{

enum class file_kind
{
    configuration,
    settings
};

/// Returns the kind of a file: a file with a [vm] section holds settings. Throws cli_error,
/// which names file and line, when the text is not an INI file.
file_kind detect_kind(std::string const& path, std::string const& text);

/// Parses and validates the text of a file; `path` is its name for error messages. Throws
/// cli_error, which names file and line.
void check_file(file_kind kind, std::string const& path, std::string const& text);

} // namespace lagoonladder::cli

#endif
