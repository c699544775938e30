#include "drain_command.hpp"

#include "access_arguments.hpp"

namespace lagoonladder::cli
{

std::string drain_command::name() const
{
    return "drain";
}

std::string drain_command::summary() const
{
    return "Lets the entry on a VM finish its requests and take no new work.";
}

exit_code drain_command::run(std::vector<std::string> const& arguments, console& terminal) const
{
    argument_parser parser(this->name(), this->summary());
    access_arguments access(parser);
    TCLAP::UnlabeledValueArg<std::string> vm("VM", "id of the VM", true, "", "VM",
                                             parser.command_line);
    parser.parse(arguments);
    auto const body = operator_client(access.resolve())
                          .call_any_entry("POST", "/v1/operator/drain", {{"vm", vm.getValue()}});
    if (access.wants_json())
        terminal.out << body.dump(2) << "\n";
    else
        terminal.out << vm.getValue() << " is leaving\n";
    return exit_code::done;
}

} // namespace lagoonladder::cli
