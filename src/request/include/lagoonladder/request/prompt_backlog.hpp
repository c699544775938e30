#ifndef LAGOONLADDER_REQUEST_PROMPT_BACKLOG_HPP
#define LAGOONLADDER_REQUEST_PROMPT_BACKLOG_HPP

#include <algorithm>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include <lagoonladder/base.hpp>
#include <lagoonladder/request/endpoint_speed.hpp>

namespace lagoonladder::request
{

/// A part of a prompt that other prompts may share as a part of their prefix.
struct prompt_part
{
    std::uint64_t hash = 0;
    std::uint64_t tokens = 0;

    friend bool operator==(prompt_part const&, prompt_part const&) = default;
};

/// Parts of a prompt from its start on; the last one belongs to this request only.
using prompt_parts = std::vector<prompt_part>;

/// Maximum number of entries that receive a notice of a prompt, so that the number of datagrams
/// stays bounded in large systems. The receivers are drawn at random for each prompt.
inline constexpr std::size_t max_notice_receivers = 32;

struct prompt_backlog_options
{
    /// Prefill speed that is assumed until engines have responded.
    double tokens_per_second = 40'000;
    /// Bounds of the time per token that one response can indicate, as multiples of the assumed
    /// time.
    double min_time_per_token_factor = 0.2;
    double max_time_per_token_factor = 20;
    /// Number of tokens that an engine is assumed to cache; a part that was not used while the
    /// engine prefilled this many tokens is expected to be evicted.
    double cache_tokens = 400'000;
    /// Cost, in seconds, that one second spent on prefilling cached parts again causes for later
    /// prompts.
    double repeated_prefill_cost = 3;
    /// Number of other entries that receive a notice of each prompt.
    std::size_t notice_receivers = max_notice_receivers;
    /// Time without prompts after which the state of an engine is dropped.
    duration max_idle = std::chrono::minutes(1);
};

/// Data that an entry keeps about a prompt that it sent.
struct sent_prompt
{
    time_point sent_at{};
    /// Number of tokens that the engine has prefilled since its start once this prompt is
    /// prefilled.
    double position = 0;
    /// Tokens that the engine has to prefill between the sending of the prompt and the first token
    /// of the response, including those of the prompt.
    double tokens_ahead = 0;
};

/// Estimates when engines will have prefilled the prompts that were sent to them, and which parts
/// of prompts they have cached. Reports of the engines are too late for both: they are older than
/// the time that the prefill of a prompt takes. Prompts that other entries sent are taken into
/// account when the notices of these entries arrive. Not safe for concurrent calls.
class prompt_backlog
{
public:
    explicit prompt_backlog(prompt_backlog_options initial = {});

    /// Number of tokens of the prompt that the engine has not cached. At most the size of the
    /// engine's cache, so that wrong sizes stated by callers have a limited effect.
    double uncached_tokens(endpoint_id const& engine, prompt_parts const& prompt) const;

    /// Time until the engine would have prefilled the prompt if it were sent now.
    duration prefill_time(time_point now, endpoint_id const& engine,
                          prompt_parts const& prompt) const;

    /// Returns the cost of sending the prompt to each of the engines: the time until it is
    /// prefilled, plus the delay of later prompts when parts are prefilled again that another
    /// engine has cached. Without this second term, busy engines would each prefill every shared
    /// part and become even busier. When this entry has no notice of a shared part, the part is
    /// expected at the engines that come first for it by rendezvous hashing, which gives the same
    /// engines at all entries.
    std::vector<duration> placement_costs(time_point now,
                                          std::vector<endpoint_id> const& candidates,
                                          prompt_parts const& prompt) const;

    /// Sets the number of entries that receive requests, including this one; 1 by default.
    void set_entry_count(std::size_t count) { this->entry_count = std::max<std::size_t>(1, count); }
    std::size_t entries() const { return this->entry_count; }

    /// Whether a prompt that was sent to the engine is known.
    bool has_seen(endpoint_id const& engine) const { return this->engines.contains(engine); }

    /// Fraction of the prompts of all entries that this entry knows of, from 0 to 1. It is smaller
    /// than the fraction that the entries announce when notices are lost. The loads of the entries
    /// are assumed to be equal within a factor of two.
    double received_share() const;

    /// Records that this entry sent a prompt to the engine. An engine with a later `start` has none
    /// of the earlier prompts cached.
    sent_prompt sent(time_point now, endpoint_id const& engine, incarnation start,
                     prompt_parts const& prompt);

    /// Records that another entry sent a prompt to the engine.
    void notice_received(time_point now, endpoint_id const& engine, incarnation start,
                         prompt_parts const& prompt);

    /// Records that the engine began to respond to a prompt of this entry.
    void first_token_received(time_point now, endpoint_id const& engine, incarnation start,
                              sent_prompt const& prompt);

    /// What the engines state about their speed.
    endpoint_speed& speeds() { return this->stated_speeds; }
    endpoint_speed const& speeds() const { return this->stated_speeds; }

    /// Number of parts that are stored, over all engines.
    std::size_t part_count() const;

private:
    struct engine_state
    {
        incarnation start;
        /// Tokens to prefill of all prompts so far.
        double total = 0;
        /// Tokens that were not prefilled yet at `updated`.
        double backlog = 0;
        time_point updated{};
        double seconds_per_token = 0;
        /// Value of `total` when the part was used last, by the hash of the part.
        std::unordered_map<std::uint64_t, double> parts;
    };

    sent_prompt add_prompt(time_point now, endpoint_id const& engine, incarnation start,
                           prompt_parts const& prompt);
    engine_state const* find(endpoint_id const& engine) const;
    /// `state` is nullptr for an engine of which nothing is known.
    double uncached_tokens(engine_state const* state, prompt_parts const& prompt) const;
    static double backlog_of(engine_state const& state, time_point now);
    /// Tokens of all parts but the last.
    double shared_tokens(prompt_parts const& prompt) const;
    bool has_cached(engine_state const& state, prompt_part const& part) const;
    /// Returns the state of the engine, which is empty when the engine is new or was restarted.
    engine_state& find_or_reset(time_point now, endpoint_id const& engine, incarnation start);
    void drop_old_parts(engine_state& state) const;
    void remove_idle_engines(time_point now);

    prompt_backlog_options options;
    /// Moving average over all engines, for those that have not responded yet.
    double mean_seconds_per_token;
    endpoint_speed stated_speeds;
    std::map<endpoint_id, engine_state> engines;
    std::size_t entry_count = 1;
    /// Recent prompts of this entry, and notices of prompts of other entries in the same time.
    double own_prompts = 0;
    double received_notices = 0;
};

} // namespace lagoonladder::request

#endif
