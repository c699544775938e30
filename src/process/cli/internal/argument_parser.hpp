#ifndef LAGOONLADDER_CLI_ARGUMENT_PARSER_HPP
#define LAGOONLADDER_CLI_ARGUMENT_PARSER_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include <lagoonladder/base.hpp>

namespace lagoonladder::cli
{

/// Arguments of one subcommand, with --help and --version.
class argument_parser
{
public:
    argument_parser(std::string const& name, std::string const& summary);

    /// Throws TCLAP::ArgException for bad usage, TCLAP::ExitException after
    /// --help or --version.
    void parse(std::vector<std::string> const& arguments);

    TCLAP::CmdLine command;

private:
    std::string program;
};

/// Parses a whole number of 0 or more. Throws cli_error that names the option.
std::uint64_t parse_number(std::string const& option, std::string const& text);

/// Parses a span such as "20 min". Throws cli_error that names the option.
duration parse_span(std::string const& option, std::string const& text);

/// Content of a file. Throws cli_error with bad_input.
std::string read_file(std::string const& path);

} // namespace lagoonladder::cli

#endif
