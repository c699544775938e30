#include "command.hpp"

#include <tclap/ArgException.h>

namespace lagoonladder::cli
{

exit_code run_and_report_errors(command const& subcommand,
                                std::vector<std::string> const& arguments, console& terminal)
{
    try
    {
        return subcommand.run(arguments, terminal);
    }
    catch (TCLAP::ExitException const& exit_request)
    {
        return exit_request.getExitStatus() == 0 ? exit_code::done : exit_code::bad_input;
    }
    catch (TCLAP::ArgException const& problem)
    {
        terminal.err << "lagoonladder " << subcommand.name() << ": " << problem.argId() << " "
                     << problem.error() << "\ntry lagoonladder " << subcommand.name()
                     << " --help\n";
        return exit_code::bad_input;
    }
    catch (cli_error const& problem)
    {
        terminal.err << "lagoonladder " << subcommand.name() << ": " << problem.what() << "\n";
        return problem.code;
    }
    catch (std::exception const& problem)
    {
        terminal.err << "lagoonladder " << subcommand.name() << ": " << problem.what() << "\n";
        return exit_code::failed;
    }
}

} // namespace lagoonladder::cli
