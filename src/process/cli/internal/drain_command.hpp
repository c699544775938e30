#ifndef LAGOONLADDER_CLI_DRAIN_COMMAND_HPP
#define LAGOONLADDER_CLI_DRAIN_COMMAND_HPP

#include "command.hpp"

namespace lagoonladder::cli
{

/// `drain`: makes an entry finish its requests and accept no new ones.
class drain_command : public command
{
public:
    std::string name() const override;
    std::string summary() const override;
    exit_code run(std::vector<std::string> const& arguments, console& terminal) const override;
};

} // namespace lagoonladder::cli

#endif
