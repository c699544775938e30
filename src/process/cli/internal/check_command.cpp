#include "check_command.hpp"

#include "argument_parser.hpp"
#include "input_file.hpp"

namespace lagoonladder::cli
{

std::string check_command::name() const
{
    return "check";
}

std::string check_command::summary() const
{
    return "Checks a configuration or settings file without contacting an entry.";
}

exit_code check_command::run(std::vector<std::string> const& arguments, console& terminal) const
{
    argument_parser parser(this->name(), this->summary());
    std::vector<std::string> names{"auto", "configuration", "settings"};
    TCLAP::ValuesConstraint<std::string> kinds(names);
    TCLAP::ValueArg<std::string> kind("", "kind", "kind of file; auto looks for a [vm] section",
                                      false, "auto", &kinds, parser.command_line);
    TCLAP::UnlabeledValueArg<std::string> path("FILE", "file to check", true, "", "FILE",
                                               parser.command_line);
    parser.parse(arguments);
    auto const text = read_file(path.getValue());
    auto selected_kind = file_kind::configuration;
    if (kind.getValue() == "auto")
        selected_kind = detect_kind(path.getValue(), text);
    else if (kind.getValue() == "settings")
        selected_kind = file_kind::settings;
    check_file(selected_kind, path.getValue(), text);
    terminal.out << path.getValue() << ": valid "
                 << (selected_kind == file_kind::settings ? "settings" : "configuration") << "\n";
    return exit_code::done;
}

} // namespace lagoonladder::cli
