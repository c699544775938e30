#ifndef LAGOONLADDER_CLI_SERVE_COMMAND_HPP
#define LAGOONLADDER_CLI_SERVE_COMMAND_HPP

#include "command.hpp"

namespace lagoonladder::cli
{

/// `serve`: runs the daemon of an entry VM.
class serve_command : public command
{
public:
    std::string name() const override;
    std::string summary() const override;
    exit_code run(std::vector<std::string> const& arguments, console& terminal) const override;
};

} // namespace lagoonladder::cli

#endif
