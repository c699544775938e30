#ifndef LAGOONLADDER_REQUEST_TOOLS_ENGINE_MODEL_HPP
#define LAGOONLADDER_REQUEST_TOOLS_ENGINE_MODEL_HPP

#include <deque>
#include <list>
#include <unordered_map>

#include <lagoonladder/request.hpp>

namespace lagoonladder::study
{

/// Effect of running requests on an engine; none by default.
struct decode_model
{
    /// Time from the first token to the last; zero leaves decoding out of the model.
    duration time{};
    /// Fraction by which each running request prolongs the prefill: each chunk of a prompt waits
    /// for a decoding step of all running requests.
    double slowdown = 0;
    /// Number of requests that run at the same time; others wait until one ends.
    std::size_t slots = 64;
    /// Running requests prolong decoding by the same fraction.
    bool is_prolonged = false;
};

/// Differences of an engine from others; none by default.
struct uneven_model
{
    /// Factor of all times that does not change.
    double constant_factor = 1;
    /// Fraction of the periods in which other work on the machine makes the engine slower.
    double slow_fraction = 0;
    double slow_factor = 2.5;
    duration period = milliseconds(600);
    /// Selects the slow periods.
    std::uint64_t seed = 0;

    /// Factor of all times, without the constant one.
    double variable_factor(time_point now) const;
    /// Returns the end of work that takes `work` without differences.
    time_point end_of_work(time_point begins, duration work) const;
};

/// An engine that prefills prompts in the order of their arrival, decodes in parallel, and caches
/// the parts of prompts that were used last.
class engine_model
{
public:
    /// Prefill speed while other requests decode. Engines in operation prefill 48.2 tokens per
    /// millisecond when nothing decodes.
    static constexpr double tokens_per_second = 44'000;
    static constexpr double cache_tokens = 485'000;

    engine_model() = default;
    explicit engine_model(decode_model const& chosen, uneven_model const& differences = {})
        : decoding(chosen)
        , uneven(differences)
    {
    }

    /// Adds a prompt; returns the time of its first token.
    time_point submit(time_point now, request::prompt_parts const& prompt);

    /// Number of tokens of the prompt that are not cached.
    double uncached_tokens(request::prompt_parts const& prompt) const;

    double prefilled_tokens() const { return this->prefilled; }

    /// Number of requests that are prefilled, decode or wait.
    std::size_t open_requests(time_point now) const;
    uneven_model const& differences() const { return this->uneven; }
    /// Time that the last submitted prompt takes to decode.
    duration last_decode_time() const { return this->decode_time; }
    /// Time during which the engine prefills the last submitted prompt.
    duration last_prefill_time() const { return this->prefill_time; }

    /// Factor of the prefill time: 1 is ordinary, 5 takes five times as long.
    double slowness = 1;

private:
    struct cached_part
    {
        std::uint64_t hash = 0;
        double tokens = 0;
    };

    struct running_request
    {
        time_point ends{};
        double tokens = 0;
    };

    void cache_part(request::prompt_part const& part);
    /// Returns the time at which a slot is free for a new request.
    time_point wait_for_slot(time_point now);

    void start_decoding(double tokens);

    decode_model decoding;
    uneven_model uneven;
    duration decode_time{};
    duration prefill_time{};
    /// Ordered by the time at which they end.
    std::deque<running_request> running;
    /// Cache memory of running requests, in tokens; cached parts are evicted for it.
    double running_tokens = 0;

    /// Time at which the prefill of all prompts so far ends.
    time_point free_at{};
    double prefilled = 0;
    double cached_tokens = 0;
    /// The part that was used last comes first.
    std::list<cached_part> order;
    std::unordered_map<std::uint64_t, std::list<cached_part>::iterator> parts;
};

} // namespace lagoonladder::study

#endif
