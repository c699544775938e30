#ifndef LAGOONLADDER_CLI_EVENTS_COMMAND_HPP
#define LAGOONLADDER_CLI_EVENTS_COMMAND_HPP

#include "command.hpp"

namespace lagoonladder::cli
{

/// `events`: prints the event timeline of all daemons.
class events_command : public command
{
public:
    std::string name() const override;
    std::string summary() const override;
    exit_code run(std::vector<std::string> const& arguments, console& terminal) const override;
};

} // namespace lagoonladder::cli

#endif
