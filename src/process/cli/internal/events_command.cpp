#include "events_command.hpp"

#include "access_arguments.hpp"
#include "report_format.hpp"

namespace lagoonladder::cli
{

namespace
{

/// Parses a UTC time, or a duration before now such as "10 min", into microseconds since 1970.
/// Throws cli_error.
std::int64_t parse_since(std::string const& text)
{
    try
    {
        auto const now = system_clock().wall_now();
        auto const since = text.find('T') != std::string::npos ? parse_wall_time(text)
                                                               : now - parse_duration(text);
        return since.time_since_epoch().count();
    }
    catch (parse_error const& problem)
    {
        throw cli_error(exit_code::bad_input, std::string("--since: ") + problem.what());
    }
}

} // namespace

std::string events_command::name() const
{
    return "events";
}

std::string events_command::summary() const
{
    return "Prints the event timeline of all daemons, oldest first.";
}

exit_code events_command::run(std::vector<std::string> const& arguments, console& terminal) const
{
    argument_parser parser(this->name(), this->summary());
    access_arguments access(parser);
    TCLAP::ValueArg<std::string> since(
        "", "since",
        "UTC time such as 2026-12-05T06:00:00Z, or a duration before now such as 10min", false,
        "1 h", "TIME", parser.command_line);
    TCLAP::ValueArg<std::string> limit("", "limit", "maximum number of events", false, "200", "N",
                                       parser.command_line);
    parser.parse(arguments);
    auto const path =
        "/v1/operator/events?since_us=" + std::to_string(parse_since(since.getValue())) +
        "&limit=" + std::to_string(parse_number("--limit", limit.getValue()));
    auto const body = operator_client(access.resolve()).call_any_entry("GET", path);
    terminal.out << (access.wants_json() ? body.dump(2) + "\n" : format_events(body));
    return exit_code::done;
}

} // namespace lagoonladder::cli
