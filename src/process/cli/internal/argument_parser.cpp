#include "argument_parser.hpp"

#include <charconv>
#include <fstream>
#include <sstream>

#include "cli_error.hpp"

namespace lagoonladder::cli
{

namespace
{

constexpr char const* exit_code_help =
    " Exit codes: 0 done; 1 failed; 2 bad usage or bad input file; 3 conflict or reversed move; "
    "4 outcome unknown or no entry reachable.";

} // namespace

argument_parser::argument_parser(std::string const& name, std::string const& summary)
    : command_line(summary + exit_code_help, ' ', LAGOONLADDER_VERSION)
    , program("lagoonladder " + name)
{
    this->command_line.setExceptionHandling(false);
}

void argument_parser::parse(std::vector<std::string> const& arguments)
{
    std::vector<std::string> all_arguments{this->program};
    all_arguments.insert(all_arguments.end(), arguments.begin(), arguments.end());
    this->command_line.parse(all_arguments);
}

std::uint64_t parse_number(std::string const& option, std::string const& text)
{
    std::uint64_t value = 0;
    auto const* end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        throw cli_error(exit_code::bad_input, option + ": \"" + text + "\" is not a whole number");
    return value;
}

duration parse_duration_option(std::string const& option, std::string const& text)
{
    try
    {
        return parse_duration(text);
    }
    catch (parse_error const& problem)
    {
        throw cli_error(exit_code::bad_input, option + ": " + problem.what());
    }
}

std::string read_file(std::string const& path)
{
    std::ifstream input(path, std::ios::binary);
    std::ostringstream text;
    if (!input || !(text << input.rdbuf()))
        throw cli_error(exit_code::bad_input, path + ": cannot be read or is empty");
    return text.str();
}

} // namespace lagoonladder::cli
