#include "input_file.hpp"

#include <lagoonladder/config.hpp>
#include <lagoonladder/version.hpp>

#include "cli_error.hpp"

namespace lagoonladder::cli
{

file_kind detect_kind(std::string const& path, std::string const& text)
{
    try
    {
        auto const document = parse_ini(path, text);
        return document.find("vm") ? file_kind::settings : file_kind::configuration;
    }
    catch (parse_error const& problem)
    {
        throw cli_error(exit_code::bad_input, problem.what());
    }
}

void check_file(file_kind kind, std::string const& path, std::string const& text)
{
    try
    {
        if (kind == file_kind::settings)
            config::parse_settings(path, text);
        else
            version::parse_configuration(path, text);
    }
    catch (error const& problem)
    {
        throw cli_error(exit_code::bad_input, problem.what());
    }
}

} // namespace lagoonladder::cli
