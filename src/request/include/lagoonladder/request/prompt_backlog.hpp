#ifndef LAGOONLADDER_REQUEST_PROMPT_BACKLOG_HPP
#define LAGOONLADDER_REQUEST_PROMPT_BACKLOG_HPP

#include <algorithm>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

/// A part of a prompt that other prompts may share.
struct prompt_part
{
    std::uint64_t hash = 0;
    std::uint64_t tokens = 0;

    friend bool operator==(prompt_part const&, prompt_part const&) = default;
};

/// Parts from the start of the prompt on; the last one is the request's own.
using prompt_parts = std::vector<prompt_part>;

/// Bounds the datagrams of large systems. The entries that hear of a prompt are drawn
/// anew each time.
inline constexpr std::size_t max_notice_receivers = 32;

struct prompt_backlog_options
{
    /// Assumed until engines have first_token_received.
    double tokens_per_second = 40'000;
    /// Bounds of the time per token that one answer tells, as multiples of the assumed one.
    double least_pace = 0.2;
    double most_pace = 20;
    /// Tokens that an engine is taken to keep; parts that were not used while it read so
    /// many are expected to be gone.
    double cache_tokens = 400'000;
    /// What a second spent on reading again costs later prompts, in seconds.
    double repeated_reading_cost = 3;
    /// Other entries that are told of a prompt.
    std::size_t news_receivers = max_notice_receivers;
    /// State of an engine that got no prompt for this long is dropped.
    duration forget_after = std::chrono::minutes(1);
};

/// What one entry knows of a prompt that it has sent.
struct sent_prompt
{
    time_point when{};
    /// Tokens that the engine has read once the prompt is read, from its start on.
    double position = 0;
    /// Tokens between the time of sending and the first token of the answer.
    double tokens_ahead = 0;
};

/// Estimates when engines will have read the prompts that were sent to them, and which
/// parts of prompts they keep. Engines tell neither in time: their reports are older than
/// a prompt takes. Prompts that other entries sent count as soon as these tell of them.
/// Not safe for concurrent calls.
class prompt_backlog
{
public:
    explicit prompt_backlog(prompt_backlog_options initial = {});

    /// Tokens of the prompt that the engine does not keep. What callers state beyond the
    /// memory of an engine is not believed.
    double unread_tokens(endpoint_id const& engine, prompt_parts const& prompt) const;

    /// Time until the engine would have read the prompt, if it were sent now.
    duration reading_time(time_point now, endpoint_id const& engine,
                          prompt_parts const& prompt) const;

    /// What it costs to send the prompt to each of the engines: the time until it is read, and
    /// what reading parts again that another engine keeps takes from later prompts. Without
    /// that, busy engines would read each shared part everywhere and be busier still.
    /// Shared parts that this entry does not hear of are expected at the engines that come
    /// first for them by rendezvous, which all entries agree on.
    std::vector<duration> placement_costs(time_point now,
                                          std::vector<endpoint_id> const& candidates,
                                          prompt_parts const& prompt) const;

    /// Entries that take calls, this one included. By default there is no other.
    void set_entry_count(std::size_t count) { this->entries = std::max<std::size_t>(1, count); }

    /// Part of all entries' prompts that this entry hears of. Less than what entries tell each
    /// other when news is lost; entries are taken to have equal loads to within a factor of two.
    double heard_share() const;

    /// This entry has sent a prompt to the engine. A later start of the engine knows nothing
    /// of the prompts before it.
    sent_prompt sent(time_point now, endpoint_id const& engine, incarnation start,
                     prompt_parts const& prompt);

    /// Another entry has sent a prompt to the engine.
    void notice_received(time_point now, endpoint_id const& engine, incarnation start,
               prompt_parts const& prompt);

    /// The engine has begun to answer a prompt of this entry.
    void first_token_received(time_point now, endpoint_id const& engine, incarnation start,
                  sent_prompt const& prompt);

    /// Parts that are remembered, over all engines.
    std::size_t part_count() const;

private:
    struct engine_state
    {
        incarnation start;
        /// Tokens to read of all prompts so far.
        double total = 0;
        /// Tokens not read at `updated`.
        double backlog = 0;
        time_point updated{};
        double seconds_per_token = 0;
        /// `total` when the part was used last.
        std::unordered_map<std::uint64_t, double> parts;
    };

    sent_prompt add(time_point now, endpoint_id const& engine, incarnation start,
                    prompt_parts const& prompt);
    engine_state const* find(endpoint_id const& engine) const;
    double unread_tokens(engine_state const* known, prompt_parts const& prompt) const;
    static double backlog_of(engine_state const& state, time_point now);
    double shared_tokens(prompt_parts const& prompt) const;
    bool keeps(engine_state const& state, prompt_part const& part) const;
    engine_state& state_of(time_point now, endpoint_id const& engine, incarnation start);
    void drop_old_parts(engine_state& state) const;
    void forget_idle(time_point now);

    prompt_backlog_options options;
    /// Seconds per token over all engines, for those that have not first_token_received yet.
    double common_pace;
    std::map<endpoint_id, engine_state> engines;
    std::size_t entries = 1;
    /// Recent prompts of this entry, and those of others that it notice_received of meanwhile.
    double own_prompts = 0;
    double heard_prompts = 0;
};

} // namespace lagoonladder::request

#endif
