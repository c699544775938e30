#ifndef LAGOONLADDER_CLI_CLI_ERROR_HPP
#define LAGOONLADDER_CLI_CLI_ERROR_HPP

#include <lagoonladder/base.hpp>

namespace lagoonladder::cli
{

enum class exit_code
{
    done = 0,
    failed = 1,
    /// Bad usage or a bad input file.
    bad_input = 2,
    /// Another configuration was stored first, or a move was reversed.
    conflict = 3,
    /// The outcome is unknown, or no entry could be reached.
    unknown = 4
};

/// Failure of a command, with the exit code of the process.
class cli_error : public error
{
public:
    cli_error(exit_code initial_code, std::string const& message)
        : error(message)
        , code(initial_code)
    {
    }

    exit_code code;
};

} // namespace lagoonladder::cli

#endif
