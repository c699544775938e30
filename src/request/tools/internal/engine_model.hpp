#ifndef LAGOONLADDER_REQUEST_TOOLS_ENGINE_MODEL_HPP
#define LAGOONLADDER_REQUEST_TOOLS_ENGINE_MODEL_HPP

#include <list>
#include <unordered_map>

#include <lagoonladder/request.hpp>

namespace lagoonladder::study
{

/// An engine that reads one prompt after the other, decodes at the side, and keeps the
/// parts of prompts that were used last.
class engine_model
{
public:
    /// Reading while other requests decode; engines of today's sites read 48.2 tokens a
    /// millisecond when nothing decodes.
    static constexpr double tokens_per_second = 44'000;
    static constexpr double cache_tokens = 485'000;

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

    void keep(request::prompt_part const& part);

    time_point free_at{};
    double read = 0;
    double kept_tokens = 0;
    /// The part that was used last comes first.
    std::list<kept_part> order;
    std::unordered_map<std::uint64_t, std::list<kept_part>::iterator> parts;
};

} // namespace lagoonladder::study

#endif
