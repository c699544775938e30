#include "serve_command.hpp"

#include <lagoonladder/config.hpp>
#include <lagoonladder/daemon.hpp>
#include <lagoonladder/daemon/run.hpp>

#include "argument_parser.hpp"

namespace lagoonladder::cli
{

std::string serve_command::name() const
{
    return "serve";
}

std::string serve_command::summary() const
{
    return "Runs the daemon of an entry VM until SIGTERM.";
}

exit_code serve_command::run(std::vector<std::string> const& arguments, console&) const
{
    argument_parser parser(this->name(), this->summary());
    TCLAP::ValueArg<std::string> path("", "settings", "settings file", true, "", "FILE",
                                      parser.command_line);
    parser.parse(arguments);
    try
    {
        return daemon::run_daemon(path.getValue()) == 0 ? exit_code::done : exit_code::failed;
    }
    catch (config::settings_error const& problem)
    {
        throw cli_error(exit_code::bad_input, problem.what());
    }
}

} // namespace lagoonladder::cli
