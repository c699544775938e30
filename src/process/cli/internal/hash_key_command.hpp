#ifndef LAGOONLADDER_CLI_HASH_KEY_COMMAND_HPP
#define LAGOONLADDER_CLI_HASH_KEY_COMMAND_HPP

#include "command.hpp"

namespace lagoonladder::cli
{

/// `hash-key`: prints the SHA-256 of an account key.
class hash_key_command : public command
{
public:
    std::string name() const override;
    std::string summary() const override;
    exit_code run(std::vector<std::string> const& arguments, console& terminal) const override;
};

} // namespace lagoonladder::cli

#endif
