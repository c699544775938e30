#include "command.hpp"

#include <cstdlib>
#include <iostream>
#include <string_view>
#include <thread>

namespace lagoonladder::fakes
{

bool parse_or_print_help(TCLAP::CmdLine& command, int argc, char** argv)
{
    for (int i = 1; i < argc; ++i)
    {
        if (std::string_view(argv[i]) == "--help")
        {
            TCLAP::StdOutput().usage(command);
            return false;
        }
    }
    command.setExceptionHandling(false);
    try
    {
        command.parse(argc, argv);
    }
    catch (TCLAP::ArgException const& problem)
    {
        std::cerr << problem.argId() << ": " << problem.error() << "\n";
        std::exit(2);
    }
    return true;
}

void drain_endpoint(http_service& service, announcer& announcements, duration grace)
{
    announcements.leave();
    std::this_thread::sleep_for(grace);
    while (service.open_requests > 0)
        std::this_thread::sleep_for(milliseconds(20));
    announcements.stop();
}

} // namespace lagoonladder::fakes
