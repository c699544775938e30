#include "hash_key_command.hpp"

#include <lagoonladder/version.hpp>

#include "argument_parser.hpp"

namespace lagoonladder::cli
{

std::string hash_key_command::name() const
{
    return "hash-key";
}

std::string hash_key_command::summary() const
{
    return "Prints the SHA-256 of an account key, as key_sha256 of a configuration needs it. "
           "Without KEY the first line of standard input is the key, which keeps it out of the "
           "process list.";
}

exit_code hash_key_command::run(std::vector<std::string> const& arguments, console& terminal) const
{
    std::string text;
    // TCLAP allows only one optional unlabeled argument per process, so the tests could run
    // the command only once. KEY is therefore required, and is parsed only when it is given.
    if (arguments.empty())
        std::getline(terminal.in, text);
    else
    {
        argument_parser parser(this->name(), this->summary());
        TCLAP::UnlabeledValueArg<std::string> key("KEY", "account key", true, "", "KEY",
                                                  parser.command_line);
        parser.parse(arguments);
        text = key.getValue();
    }
    if (!text.empty() && text.back() == '\r')
        text.pop_back();
    if (text.empty())
        throw cli_error(exit_code::bad_input, "the key is empty");
    terminal.out << version::sha256_hex(text) << "\n";
    return exit_code::done;
}

} // namespace lagoonladder::cli
