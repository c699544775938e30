#ifndef LAGOONLADDER_CLI_COMMAND_HPP
#define LAGOONLADDER_CLI_COMMAND_HPP

#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "cli_error.hpp"

namespace lagoonladder::cli
{

/// Streams that a command reads and writes.
struct console
{
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
};

/// One subcommand of the command line.
class command
{
public:
    virtual ~command() = default;
    virtual std::string name() const = 0;
    virtual std::string summary() const = 0;

    /// Runs with the arguments after the command name. Throws cli_error,
    /// TCLAP::ArgException for bad usage and TCLAP::ExitException after --help.
    virtual exit_code run(std::vector<std::string> const& arguments, console& terminal) const = 0;
};

/// Runs a subcommand; prints its errors to standard error and returns their exit code.
exit_code run_and_report_errors(command const& subcommand,
                                std::vector<std::string> const& arguments, console& terminal);

} // namespace lagoonladder::cli

#endif
