#ifndef LAGOONLADDER_FAKES_TOKEN_TEXT_HPP
#define LAGOONLADDER_FAKES_TOKEN_TEXT_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace lagoonladder::fakes
{

/// Returns the token at an offset of the response to a prompt: "t<offset>-<hash> ". It does not
/// depend on the engine or its version, so that a test can check any response.
std::string token_text(std::string const& prompt, std::uint64_t offset);

/// Concatenates the tokens from offset `first` up to but excluding `end`.
std::string answer_text(std::string const& prompt, std::uint64_t first, std::uint64_t end);

/// Returns the prompt of a request body: its `prompt`, or role and content of its `messages`.
/// Throws nlohmann::json::exception when it has neither.
std::string prompt_of(nlohmann::json const& body);

/// Words of a prompt; the fake engine counts one token for each.
std::vector<std::string> prompt_tokens(std::string const& prompt);

} // namespace lagoonladder::fakes

#endif
