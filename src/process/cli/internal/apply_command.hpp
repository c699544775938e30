#ifndef LAGOONLADDER_CLI_APPLY_COMMAND_HPP
#define LAGOONLADDER_CLI_APPLY_COMMAND_HPP

#include "command.hpp"

namespace lagoonladder::cli
{

/// `apply`: stores a configuration file and optionally waits until it is in force.
class apply_command : public command
{
public:
    std::string name() const override;
    std::string summary() const override;
    exit_code run(std::vector<std::string> const& arguments, console& terminal) const override;
};

} // namespace lagoonladder::cli

#endif
