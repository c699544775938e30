#include <iostream>
#include <map>
#include <string>

#include "booking.hpp"
#include "cloud.hpp"
#include "engine.hpp"
#include "http_service.hpp"
#include "load.hpp"
#include "relay.hpp"
#include "weights.hpp"

int main(int argc, char** argv)
{
    using namespace lagoonladder::fakes;
    std::map<std::string, int (*)(int, char**)> const commands{
        {"engine", run_engine},   {"booking", run_booking}, {"cloud", run_cloud},
        {"weights", run_weights}, {"relay", run_relay},     {"load", run_load}};
    auto const subcommand = argc > 1 ? commands.find(argv[1]) : commands.end();
    if (subcommand == commands.end())
    {
        std::cerr << "usage: lagoonladder-fakes COMMAND [--help]; commands:";
        for (auto const& command : commands)
            std::cerr << " " << command.first;
        std::cerr << "\n";
        return 2;
    }
    block_stop_signals();
    return subcommand->second(argc - 1, argv + 1);
}
