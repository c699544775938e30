#ifndef LAGOONLADDER_CLI_CHECK_COMMAND_HPP
#define LAGOONLADDER_CLI_CHECK_COMMAND_HPP

#include "command.hpp"

namespace lagoonladder::cli
{

/// `check`: checks a configuration or settings file without contacting an entry.
class check_command : public command
{
public:
    std::string name() const override;
    std::string summary() const override;
    exit_code run(std::vector<std::string> const& arguments, console& terminal) const override;
};

} // namespace lagoonladder::cli

#endif
