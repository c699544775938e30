#include <lagoonladder/cli.hpp>

#include "apply_command.hpp"
#include "check_command.hpp"
#include "drain_command.hpp"
#include "evacuate_command.hpp"
#include "events_command.hpp"
#include "explain_command.hpp"
#include "hash_key_command.hpp"
#include "report_command.hpp"
#include "report_format.hpp"
#include "serve_command.hpp"

namespace lagoonladder
{

namespace
{

using command_list = std::vector<std::unique_ptr<cli::command>>;

command_list make_commands()
{
    using namespace cli;
    command_list commands;
    commands.push_back(std::make_unique<serve_command>());
    commands.push_back(std::make_unique<check_command>());
    commands.push_back(std::make_unique<apply_command>());
    commands.push_back(std::make_unique<report_command>(
        "status", "Prints the state of the system as one entry sees it.", format_status));
    commands.push_back(std::make_unique<report_command>(
        "moves", "Prints the running and the ended version moves.", format_moves));
    commands.push_back(std::make_unique<events_command>());
    commands.push_back(std::make_unique<drain_command>());
    commands.push_back(std::make_unique<evacuate_command>());
    commands.push_back(std::make_unique<explain_command>());
    commands.push_back(std::make_unique<hash_key_command>());
    return commands;
}

void print_usage(std::ostream& out, command_list const& commands)
{
    out << "usage: lagoonladder COMMAND [OPTIONS]\n\n";
    for (auto const& command : commands)
        out << "  " << command->name() << std::string(12 - command->name().size(), ' ')
            << command->summary() << "\n";
    out << "\nlagoonladder COMMAND --help prints the options. Exit codes: 0 done; 1 failed;\n"
           "2 bad usage or bad input file; 3 conflict or reversed move; 4 outcome unknown or\n"
           "no entry reachable.\n";
}

cli::exit_code run(std::vector<std::string> const& arguments, cli::console& terminal)
{
    auto const commands = make_commands();
    auto const first_argument = arguments.empty() ? std::string() : arguments.front();
    for (auto const& command : commands)
        if (command->name() == first_argument)
            return cli::run_and_report_errors(*command, {arguments.begin() + 1, arguments.end()},
                                              terminal);
    if (first_argument == "--version")
    {
        terminal.out << "lagoonladder " << LAGOONLADDER_VERSION << "\n";
        return cli::exit_code::done;
    }
    bool const wants_help = first_argument == "--help" || first_argument == "-h";
    print_usage(wants_help ? terminal.out : terminal.err, commands);
    return wants_help ? cli::exit_code::done : cli::exit_code::bad_input;
}

} // namespace

int run_command_line(int argc, char** argv)
{
    cli::console terminal{std::cin, std::cout, std::cerr};
    auto const code = run({argv + 1, argv + argc}, terminal);
    std::cout.flush();
    return static_cast<int>(code);
}

} // namespace lagoonladder
