#ifndef LAGOONLADDER_FAKES_SSE_READER_HPP
#define LAGOONLADDER_FAKES_SSE_READER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonladder::fakes
{

/// Collects the tokens of a stream of completion events and checks them
/// against the expected answer.
class sse_reader
{
public:
    explicit sse_reader(std::string initial_prompt);

    /// Takes received bytes; partial lines are kept for the next call.
    void add(std::string_view bytes);

    std::uint64_t tokens() const { return this->received; }
    bool is_done() const { return this->done; }
    /// Whether every token was the expected one at its offset.
    bool is_correct() const { return this->correct; }

private:
    void take_line(std::string const& line);

    std::string prompt;
    std::string rest;
    std::uint64_t received = 0;
    bool done = false;
    bool correct = true;
};

} // namespace lagoonladder::fakes

#endif
