#include "command.hpp"

#include <tclap/ArgException.h>

namespace lagoonladder::cli
{

exit_code run_guarded(command const& chosen, std::vector<std::string> const& arguments,
                      console& terminal)
{
    try
    {
        return chosen.run(arguments, terminal);
    }
    catch (TCLAP::ExitException const& end)
    {
        return end.getExitStatus() == 0 ? exit_code::done : exit_code::bad_input;
    }
    catch (TCLAP::ArgException const& problem)
    {
        terminal.err << "lagoonladder " << chosen.name() << ": " << problem.argId() << " "
                     << problem.error() << "\ntry lagoonladder " << chosen.name() << " --help\n";
        return exit_code::bad_input;
    }
    catch (cli_error const& problem)
    {
        terminal.err << "lagoonladder " << chosen.name() << ": " << problem.what() << "\n";
        return problem.code;
    }
    catch (std::exception const& problem)
    {
        terminal.err << "lagoonladder " << chosen.name() << ": " << problem.what() << "\n";
        return exit_code::failed;
    }
}

} // namespace lagoonladder::cli
