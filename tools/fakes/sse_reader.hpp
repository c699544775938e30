#ifndef LAGOONLADDER_FAKES_SSE_READER_HPP
#define LAGOONLADDER_FAKES_SSE_READER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonladder::fakes
{

/// Counts the tokens in a stream of completion events and compares them with the expected
/// response.
class sse_reader
{
public:
    explicit sse_reader(std::string initial_prompt);

    /// Parses received bytes; an incomplete line is kept for the next call.
    void add(std::string_view bytes);

    std::uint64_t token_count() const { return this->received_tokens; }
    bool is_done() const { return this->done; }
    /// Whether every received token equals the expected token at its offset.
    bool is_correct() const { return this->correct; }

private:
    void parse_line(std::string const& line);

    std::string prompt;
    std::string partial_line;
    std::uint64_t received_tokens = 0;
    bool done = false;
    bool correct = true;
};

} // namespace lagoonladder::fakes

#endif
