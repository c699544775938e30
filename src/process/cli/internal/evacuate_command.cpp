#include "evacuate_command.hpp"

#include "access_arguments.hpp"

namespace lagoonladder::cli
{

std::string evacuate_command::name() const
{
    return "evacuate";
}

std::string evacuate_command::summary() const
{
    return "Stops requests to the endpoints of a data centre, or lets them start again.";
}

exit_code evacuate_command::run(std::vector<std::string> const& arguments, console& terminal) const
{
    argument_parser parser(this->name(), this->summary());
    access_arguments access(parser);
    TCLAP::SwitchArg is_end("", "end", "end the evacuation", parser.command_line);
    TCLAP::UnlabeledValueArg<std::string> data_centre("DATA_CENTRE", "id of the data centre", true,
                                                      "", "DATA_CENTRE", parser.command_line);
    parser.parse(arguments);
    nlohmann::json const order{{"data_centre", data_centre.getValue()},
                               {"is_evacuated", !is_end.getValue()}};
    auto const body =
        operator_client(access.resolve()).call_any_entry("POST", "/v1/operator/evacuations", order);
    if (access.wants_json())
        terminal.out << body.dump(2) << "\n";
    else
        terminal.out << data_centre.getValue()
                     << (is_end.getValue() ? " is not evacuated\n" : " is evacuated\n");
    return exit_code::done;
}

} // namespace lagoonladder::cli
