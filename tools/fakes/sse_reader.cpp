#include "sse_reader.hpp"

#include <nlohmann/json.hpp>

#include "token_text.hpp"

namespace lagoonladder::fakes
{

sse_reader::sse_reader(std::string initial_prompt)
    : prompt(std::move(initial_prompt))
{
}

void sse_reader::add(std::string_view bytes)
{
    this->partial_line.append(bytes);
    std::size_t start = 0;
    for (auto end = this->partial_line.find('\n'); end != std::string::npos;
         end = this->partial_line.find('\n', start))
    {
        this->parse_line(this->partial_line.substr(start, end - start));
        start = end + 1;
    }
    this->partial_line.erase(0, start);
}

void sse_reader::parse_line(std::string const& line)
{
    constexpr std::string_view prefix = "data: ";
    if (line.rfind(prefix, 0) != 0)
        return;
    auto const data = line.substr(prefix.size());
    if (data == "[DONE]")
    {
        this->done = true;
        return;
    }
    auto const event = nlohmann::json::parse(data, nullptr, false);
    if (!event.is_object() || !event.contains("choices") || event["choices"].empty())
    {
        this->correct = false;
        return;
    }
    auto const& choice = event["choices"][0];
    auto const text =
        choice.contains("delta") ? choice["delta"].value("content", "") : choice.value("text", "");
    if (text.empty())
        return;
    // An entry may put several tokens into one event.
    std::string expected;
    while (expected.size() < text.size())
        expected += token_text(this->prompt, this->received_tokens++);
    this->correct = this->correct && expected == text;
}

} // namespace lagoonladder::fakes
