#include "apply_command.hpp"

#include <filesystem>

#include "access_arguments.hpp"
#include "configuration_applier.hpp"
#include "input_file.hpp"
#include "report_format.hpp"

namespace lagoonladder::cli
{

namespace
{

generation current_generation(operator_client const& client)
{
    auto const body = client.call_any_entry("GET", "/v1/operator/configuration");
    return body.at("generation").get<generation>();
}

/// Prints the outcome of the command, and the moves if it waited for them.
void print_outcome(console& terminal, bool as_json, apply_request const& request,
                   stored_configuration const& stored, nlohmann::json const& moves)
{
    auto const* outcome = stored.repeated ? "repeated" : "stored";
    if (as_json)
    {
        nlohmann::json body{{"outcome", outcome},
                            {"generation", stored.generation},
                            {"operation", request.operation}};
        if (!moves.is_null())
            body.update(moves);
        terminal.out << body.dump(2) << "\n";
        return;
    }
    terminal.out << outcome << " as generation " << stored.generation << "\n";
    if (!moves.is_null())
        terminal.out << "in force on all entries\n" << format_moves(moves);
}

} // namespace

std::string apply_command::name() const
{
    return "apply";
}

std::string apply_command::summary() const
{
    return "Stores a configuration file if the generation that it is based on is still the "
           "current one.";
}

exit_code apply_command::run(std::vector<std::string> const& arguments, console& terminal) const
{
    argument_parser parser(this->name(), this->summary());
    access_arguments access(parser);
    TCLAP::ValueArg<std::string> base("", "base", "generation that the file is based on", false, "",
                                      "GENERATION", parser.command_line);
    TCLAP::SwitchArg force("", "force-current",
                           "use the current generation as base, whatever it is",
                           parser.command_line);
    TCLAP::ValueArg<std::string> operation(
        "", "operation", "operation id of an earlier attempt whose outcome is unknown", false, "",
        "ID", parser.command_line);
    TCLAP::SwitchArg wait("", "wait",
                          "wait until all entries use the configuration and its moves have ended",
                          parser.command_line);
    TCLAP::ValueArg<std::string> limit("", "wait-timeout", "maximum time to wait, such as 20min",
                                       false, "30 min", "TIME", parser.command_line);
    TCLAP::UnlabeledValueArg<std::string> path("FILE", "configuration file", true, "", "FILE",
                                               parser.command_line);
    parser.parse(arguments);
    if (base.isSet() == force.getValue())
        throw cli_error(exit_code::bad_input,
                        "exactly one of --base and --force-current is needed");
    apply_request request;
    request.file = std::filesystem::path(path.getValue()).filename().string();
    request.text = read_file(path.getValue());
    check_file(file_kind::configuration, path.getValue(), request.text);
    operator_client const client(access.resolve());
    auto const wait_limit = parse_duration_option("--wait-timeout", limit.getValue());
    request.base = force.getValue() ? current_generation(client)
                                    : generation(parse_number("--base", base.getValue()));
    request.operation =
        operation.isSet() ? operation_id(operation.getValue()) : make_operation_id();
    // Printed before the call, so that the operator can repeat an interrupted command with it.
    terminal.err << "operation " << request.operation << "\n";
    auto const stored = configuration_applier(client).apply(request);
    nlohmann::json moves;
    if (wait.getValue())
        moves = generation_waiter(client, wait_limit).wait(stored.generation);
    print_outcome(terminal, access.wants_json(), request, stored, moves);
    return exit_code::done;
}

} // namespace lagoonladder::cli
