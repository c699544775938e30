#include "report_command.hpp"

#include "access_arguments.hpp"

namespace lagoonladder::cli
{

report_command::report_command(std::string initial_name, std::string initial_summary,
                               format_function initial_format)
    : command_name(std::move(initial_name))
    , command_summary(std::move(initial_summary))
    , format(initial_format)
{
}

exit_code report_command::run(std::vector<std::string> const& arguments, console& terminal) const
{
    argument_parser parser(this->command_name, this->command_summary);
    access_arguments access(parser);
    parser.parse(arguments);
    auto const body = operator_client(access.resolve())
                          .call_any_entry("GET", "/v1/operator/" + this->command_name);
    terminal.out << (access.wants_json() ? body.dump(2) + "\n" : this->format(body));
    return exit_code::done;
}

} // namespace lagoonladder::cli
