#ifndef LAGOONLADDER_CLI_REPORT_COMMAND_HPP
#define LAGOONLADDER_CLI_REPORT_COMMAND_HPP

#include <nlohmann/json.hpp>

#include "command.hpp"

namespace lagoonladder::cli
{

/// A command without specific options that prints one response of the operator
/// API: `status` and `moves`.
class report_command : public command
{
public:
    using format_function = std::string (*)(nlohmann::json const&);

    report_command(std::string initial_name, std::string initial_summary,
                   format_function initial_format);

    std::string name() const override { return this->command_name; }
    std::string summary() const override { return this->command_summary; }
    exit_code run(std::vector<std::string> const& arguments, console& terminal) const override;

private:
    std::string command_name;
    std::string command_summary;
    format_function format;
};

} // namespace lagoonladder::cli

#endif
