#include "token_text.hpp"

#include <array>
#include <cstdio>
#include <sstream>

#include <lagoonladder/base.hpp>

namespace lagoonladder::fakes
{

std::string token_text(std::string const& prompt, std::uint64_t offset)
{
    std::array<char, 48> text{};
    std::snprintf(text.data(), text.size(), "t%llu-%06llx ",
                  static_cast<unsigned long long>(offset),
                  static_cast<unsigned long long>(stable_hash(prompt, offset) & 0xffffff));
    return text.data();
}

std::string answer_text(std::string const& prompt, std::uint64_t first, std::uint64_t end)
{
    std::string text;
    for (auto offset = first; offset < end; ++offset)
        text += token_text(prompt, offset);
    return text;
}

std::string prompt_of(nlohmann::json const& body)
{
    if (body.contains("prompt"))
        return body.at("prompt").get<std::string>();
    std::string text;
    for (auto const& message : body.at("messages"))
        text += message.at("role").get<std::string>() + ": " +
                message.at("content").get<std::string>() + "\n";
    return text;
}

std::vector<std::string> prompt_tokens(std::string const& prompt)
{
    std::vector<std::string> tokens;
    std::istringstream input(prompt);
    for (std::string word; input >> word;)
        tokens.push_back(word);
    return tokens;
}

} // namespace lagoonladder::fakes
