#ifndef LAGOONLADDER_CLI_EXPLAIN_COMMAND_HPP
#define LAGOONLADDER_CLI_EXPLAIN_COMMAND_HPP

#include "command.hpp"

namespace lagoonladder::cli
{

/// `explain`: explains where a call would be sent now, and why, without sending it.
class explain_command : public command
{
public:
    std::string name() const override;
    std::string summary() const override;
    exit_code run(std::vector<std::string> const& arguments, console& terminal) const override;
};

} // namespace lagoonladder::cli

#endif
