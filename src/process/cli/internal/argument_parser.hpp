#ifndef LAGOONLADDER_CLI_ARGUMENT_PARSER_HPP
#define LAGOONLADDER_CLI_ARGUMENT_PARSER_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include <lagoonladder/base.hpp>

namespace lagoonladder::cli
{

/// Parses the arguments of one subcommand, including --help and --version.
class argument_parser
{
public:
    argument_parser(std::string const& name, std::string const& summary);

    /// Throws TCLAP::ArgException for bad usage, TCLAP::ExitException after
    /// --help or --version.
    void parse(std::vector<std::string> const& arguments);

    TCLAP::CmdLine command_line;

private:
    std::string program;
};

/// Parses a non-negative whole number. Throws cli_error, which names the option.
std::uint64_t parse_number(std::string const& option, std::string const& text);

/// Parses a duration such as "20 min". Throws cli_error, which names the option.
duration parse_duration_option(std::string const& option, std::string const& text);

/// Returns the content of a file. Throws cli_error with bad_input when it is empty or unreadable.
std::string read_file(std::string const& path);

} // namespace lagoonladder::cli

#endif
