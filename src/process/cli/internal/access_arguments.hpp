#ifndef LAGOONLADDER_CLI_ACCESS_ARGUMENTS_HPP
#define LAGOONLADDER_CLI_ACCESS_ARGUMENTS_HPP

#include "argument_parser.hpp"
#include "operator_client.hpp"

namespace lagoonladder::cli
{

/// Options --entry, --token-file and --output of the commands that call entries.
class access_arguments
{
public:
    explicit access_arguments(argument_parser& parser);

    /// Reads the options, or the environment variables LAGOONLADDER_ENTRIES and
    /// LAGOONLADDER_TOKEN. Throws cli_error when entries or token are missing or
    /// malformed.
    operator_access resolve() const;

    bool wants_json() const;

private:
    TCLAP::MultiArg<std::string> entry;
    TCLAP::ValueArg<std::string> token_file;
    TCLAP::ValuesConstraint<std::string> formats;
    TCLAP::ValueArg<std::string> output;
};

} // namespace lagoonladder::cli

#endif
