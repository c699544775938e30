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

/// Tells a settings file by its [vm] section from a configuration. Throws
/// cli_error naming file and line when the text is not an INI file.
file_kind detect_kind(std::string const& path, std::string const& text);

/// Checks a file in full. Throws cli_error naming file and line.
void check_file(file_kind kind, std::string const& path, std::string const& text);

} // namespace lagoonladder::cli

#endif
