#include "explain_command.hpp"

#include <charconv>
#include <sstream>

#include "access_arguments.hpp"
#include "explanation_format.hpp"

namespace lagoonladder::cli
{

namespace
{

constexpr int bad_request_status = 400;

std::vector<std::string> split(std::string const& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream list(text);
    for (std::string part; std::getline(list, part, separator);)
        parts.push_back(part);
    // A trailing separator is followed by an empty part.
    if (text.empty() || text.back() == separator)
        parts.emplace_back();
    return parts;
}

nlohmann::json parse_tokens(std::string const& text)
{
    auto const counts = split(text, ',');
    if (counts.size() != 2)
        throw cli_error(exit_code::bad_input, "--tokens: \"" + text + "\" is not IN,OUT");
    return {{"prompt", parse_number("--tokens", counts[0])},
            {"max_output", parse_number("--tokens", counts[1])}};
}

void check_hash(std::string const& text)
{
    std::uint64_t hash = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, hash, 16);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        throw cli_error(exit_code::bad_input,
                        "--prompt: \"" + text + "\" is not a hexadecimal number of 64 bits");
}

nlohmann::json parse_prompt(std::string const& text)
{
    auto prompt = nlohmann::json::array();
    for (auto const& part : split(text, ','))
    {
        auto const fields = split(part, ':');
        if (fields.size() != 2)
            throw cli_error(exit_code::bad_input, "--prompt: \"" + part + "\" is not HASH:TOKENS");
        check_hash(fields[0]);
        prompt.push_back({{"hash", fields[0]}, {"tokens", parse_number("--prompt", fields[1])}});
    }
    return prompt;
}

/// Asks the entries in turn until one responds. Throws cli_error.
nlohmann::json explain(operator_client const& client, nlohmann::json const& query)
{
    std::string problems;
    for (auto const& entry : client.entries())
    {
        auto const reply = client.call(entry, "POST", "/v1/operator/explain", query);
        if (reply.result == call_result::responded && reply.status / 100 == 2)
            return reply.body;
        if (reply.result == call_result::responded && reply.status == bad_request_status)
            throw cli_error(exit_code::bad_input, reply.problem());
        problems += (problems.empty() ? "" : "; ") + reply.problem();
    }
    throw cli_error(exit_code::failed, problems);
}

} // namespace

std::string explain_command::name() const
{
    return "explain";
}

std::string explain_command::summary() const
{
    return "Explains where a pass-through call would be sent now, and why, without sending it.";
}

exit_code explain_command::run(std::vector<std::string> const& arguments, console& terminal) const
{
    argument_parser parser(this->name(), this->summary());
    access_arguments access(parser);
    auto& line = parser.command_line;
    TCLAP::ValueArg<std::string> host("", "host", "host of the call", true, "", "HOST", line);
    TCLAP::ValueArg<std::string> path("", "path", "path of the call", true, "", "PATH", line);
    TCLAP::ValueArg<std::string> method("", "method", "method; routes serve all methods alike",
                                        false, "POST", "METHOD", line);
    TCLAP::ValueArg<std::string> account("", "account", "account; none for a call without a key",
                                         false, "", "NAME", line);
    TCLAP::ValueArg<std::string> tokens("", "tokens", "tokens of the prompt and of the response",
                                        false, "", "IN,OUT", line);
    TCLAP::ValueArg<std::string> prompt("", "prompt", "parts of the prompt, hashes in hexadecimal",
                                        false, "", "HASH:TOKENS,...", line);
    TCLAP::ValueArg<std::string> deadline("", "deadline-ms", "time that the caller waits", false,
                                          "", "N", line);
    TCLAP::SwitchArg is_json("", "json", "print the answer as JSON", line);
    parser.parse(arguments);
    nlohmann::json query{
        {"host", host.getValue()}, {"path", path.getValue()}, {"method", method.getValue()}};
    if (account.isSet())
        query["account"] = account.getValue();
    if (tokens.isSet())
        query["tokens"] = parse_tokens(tokens.getValue());
    if (prompt.isSet())
        query["prompt"] = parse_prompt(prompt.getValue());
    if (deadline.isSet())
        query["deadline_ms"] = parse_number("--deadline-ms", deadline.getValue());
    auto const answer = explain(operator_client(access.resolve()), query);
    if (is_json.getValue() || access.wants_json())
        terminal.out << answer.dump(2) << "\n";
    else
        terminal.out << format_explanation(answer);
    return exit_code::done;
}

} // namespace lagoonladder::cli
