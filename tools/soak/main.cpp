#include <csignal>
#include <iostream>

#include <command.hpp>
#include <lagoonladder/soak.hpp>

namespace
{

using namespace lagoonladder;

constexpr int exit_held = 0;
constexpr int exit_violated = 1;
constexpr int exit_bad_input = 2;

volatile std::sig_atomic_t stop_requested = 0;

extern "C" void request_stop(int)
{
    stop_requested = 1;
}

/// Returns std::nullopt when only help was asked for.
std::optional<soak::run_options> parse_options(int argument_count, char** arguments)
{
    TCLAP::CmdLine command("Plays faults against real processes and checks configurations.", ' ',
                           "1");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of all random choices", false, 1,
                                        "number", command);
    TCLAP::ValueArg<unsigned> length("", "seconds", "Time with faults before the final one", false,
                                     60, "seconds", command);
    TCLAP::ValueArg<unsigned> entries("", "entries", "Number of entries, 5 to 200", false, 10,
                                      "number", command);
    TCLAP::ValueArg<std::string> history("", "history", "Writes all events to this file", false, "",
                                         "file", command);
    TCLAP::ValueArg<std::string> logs("", "logs", "Keeps the logs of the entries here", false, "",
                                      "folder", command);
    TCLAP::ValueArg<std::string> binary("", "binary", "Program of the entries", false,
                                        "build/src/process/cli/lagoonladder", "file", command);
    TCLAP::ValueArg<std::string> text("", "template", "Template of the settings", false,
                                      "platform/settings.ini.template", "file", command);
    TCLAP::ValueArg<std::string> network("", "network",
                                         "First two numbers of the loopback addresses", false,
                                         "127.90", "127.N", command);
    if (!fakes::parse_or_print_help(command, argument_count, arguments))
        return std::nullopt;
    soak::run_options options;
    options.seed = seed.getValue();
    options.length = seconds(length.getValue());
    options.entries = entries.getValue();
    options.history_file = history.getValue();
    options.logs = logs.getValue();
    options.binary = binary.getValue();
    options.settings_template = text.getValue();
    options.network = network.getValue();
    return options;
}

void print(soak::violation const& found, std::uint64_t seed)
{
    std::cout << "violation seed=" << seed << " rule=" << found.rule
              << " at_ms=" << found.at.count() / 1000
              << " entry=" << static_cast<std::uint32_t>(found.entry) << " " << found.text << "\n";
}

int report(soak::history const& recorded, std::uint64_t seed)
{
    soak::check_bounds const bounds;
    auto found = soak::check_all(recorded, bounds);
    // A run that took more than the deployment allows proves nothing about the product.
    auto const excess = soak::check_losses(recorded, seconds(4));
    for (auto const& each : found)
        print(each, seed);
    for (auto const& each : excess)
        print(each, seed);
    std::cout << "seed=" << seed << " violations=" << found.size() << " "
              << soak::format(soak::summarize(recorded, bounds));
    return found.empty() && excess.empty() ? exit_held : exit_violated;
}

} // namespace

int main(int argument_count, char** arguments)
{
    std::signal(SIGINT, request_stop);
    std::signal(SIGTERM, request_stop);
    try
    {
        auto const options = parse_options(argument_count, arguments);
        if (!options)
            return exit_held;
        auto const recorded = soak::play(*options, [] { return stop_requested != 0; });
        if (!recorded)
        {
            std::cerr << "soak: interrupted, nothing was checked\n";
            return exit_bad_input;
        }
        return report(*recorded, options->seed);
    }
    catch (std::exception const& problem)
    {
        std::cerr << "soak: " << problem.what() << "\n";
        return exit_bad_input;
    }
}
