#ifndef LAGOONLADDER_REQUEST_TOOLS_ENGINE_MODEL_HPP
#define LAGOONLADDER_REQUEST_TOOLS_ENGINE_MODEL_HPP

#include <deque>
#include <list>
#include <unordered_map>

#include <lagoonladder/request.hpp>

namespace lagoonladder::study
{

/// What running requests take from an engine; nothing by default.
struct decode_model
{
    /// From the first token to the last; zero leaves decoding out.
    duration time{};
    /// Part that one running request adds to the time of reading: each chunk of a prompt
    /// waits for a step of all running requests.
    double slowdown = 0;
    /// Requests at once; others wait for the end of one.
    std::size_t slots = 64;
};

/// An engine that reads prompts in the order of their arrival, decodes at the side, and
/// keeps the parts of prompts that were used last.
class engine_model
{
public:
    /// Reading while other requests decode; engines of today's sites read 48.2 tokens a
    /// millisecond when nothing decodes.
    static constexpr double tokens_per_second = 44'000;
    static constexpr double cache_tokens = 485'000;

    engine_model() = default;
    explicit engine_model(decode_model const& chosen)
        : decoding(chosen)
    {
    }

    /// Takes a prompt; returns when its first token comes.
    time_point submit(time_point now, request::prompt_parts const& prompt);

    /// Tokens of the prompt that are not kept.
    double unread_tokens(request::prompt_parts const& prompt) const;

    double tokens_read() const { return this->read; }

    /// 1 is ordinary; 5 takes five times as long.
    double slowness = 1;

private:
    struct kept_part
    {
        std::uint64_t hash = 0;
        double tokens = 0;
    };

    struct running_request
    {
        time_point ends{};
        double tokens = 0;
    };

    void keep(request::prompt_part const& part);
    /// When the request may begin to be read, as far as slots decide.
    time_point wait_for_slot(time_point now);

    decode_model decoding;
    /// Ordered by their ends: all decode for the same time.
    std::deque<running_request> running;
    /// Memory of running requests, which kept parts yield to.
    double running_tokens = 0;

    time_point free_at{};
    double read = 0;
    double kept_tokens = 0;
    /// The part that was used last comes first.
    std::list<kept_part> order;
    std::unordered_map<std::uint64_t, std::list<kept_part>::iterator> parts;
};

} // namespace lagoonladder::study

#endif
