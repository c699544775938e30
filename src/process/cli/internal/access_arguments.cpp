#include "access_arguments.hpp"

#include <cstdlib>
#include <sstream>

#include "cli_error.hpp"

namespace lagoonladder::cli
{

namespace
{

std::vector<std::string>& output_formats()
{
    static std::vector<std::string> names{"text", "json"};
    return names;
}

std::string environment_variable(char const* name)
{
    auto const* value = std::getenv(name);
    return value ? value : "";
}

network_address parse_entry_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    bool const is_complete = colon != std::string::npos && colon > 0 &&
                             text.find_first_not_of("0123456789", colon + 1) == std::string::npos &&
                             colon + 1 < text.size();
    if (!is_complete)
        throw cli_error(exit_code::bad_input,
                        "\"" + text + "\" is not an entry address such as 127.0.0.1:8101");
    return network_address(text);
}

std::string trim_end(std::string const& text)
{
    return text.substr(0, text.find_last_not_of(" \t\r\n") + 1);
}

} // namespace

access_arguments::access_arguments(argument_parser& parser)
    : entry("", "entry", "HTTP address of an entry; repeatable (environment LAGOONLADDER_ENTRIES)",
            false, "HOST:PORT", parser.command_line)
    , token_file("", "token-file", "file with the operator token (environment LAGOONLADDER_TOKEN)",
                 false, "", "FILE", parser.command_line)
    , formats(output_formats())
    , output("", "output", "output format", false, "text", &this->formats, parser.command_line)
{
}

operator_access access_arguments::resolve() const
{
    operator_access access;
    for (auto const& text : this->entry.getValue())
        access.entries.push_back(parse_entry_address(text));
    if (access.entries.empty())
    {
        std::istringstream list(environment_variable("LAGOONLADDER_ENTRIES"));
        for (std::string text; std::getline(list, text, ',');)
            access.entries.push_back(parse_entry_address(text));
    }
    if (access.entries.empty())
        throw cli_error(exit_code::bad_input, "no entry: use --entry or LAGOONLADDER_ENTRIES");
    access.token = this->token_file.isSet() ? trim_end(read_file(this->token_file.getValue()))
                                            : environment_variable("LAGOONLADDER_TOKEN");
    if (access.token.empty())
        throw cli_error(exit_code::bad_input, "no token: use --token-file or LAGOONLADDER_TOKEN");
    if (access.token.find_first_of("\r\n") != std::string::npos)
        throw cli_error(exit_code::bad_input, "the token contains a line break");
    return access;
}

bool access_arguments::wants_json() const
{
    return this->output.getValue() == "json";
}

} // namespace lagoonladder::cli
