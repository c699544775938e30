#ifndef LAGOONLADDER_CLI_EVACUATE_COMMAND_HPP
#define LAGOONLADDER_CLI_EVACUATE_COMMAND_HPP

#include "command.hpp"

namespace lagoonladder::cli
{

/// `evacuate`: starts or ends the evacuation of a data centre.
class evacuate_command : public command
{
public:
    std::string name() const override;
    std::string summary() const override;
    exit_code run(std::vector<std::string> const& arguments, console& terminal) const override;
};

} // namespace lagoonladder::cli

#endif
