#include <lagoonladder/request/prompt_backlog.hpp>

#include <algorithm>

namespace lagoonladder::request
{

namespace
{

/// Weight of a new sample in the moving averages of the time per token.
constexpr double sample_weight = 0.2;
/// Answers to shorter prompts tell more of other delays than of the speed.
constexpr double least_sample_tokens = 3'000;
/// Network, first step of the answer and the like.
constexpr duration fixed_delay = milliseconds(20);
constexpr duration least_sample_time = milliseconds(5);
/// Parts in the table of an engine before old ones are looked for.
constexpr std::size_t parts_before_cleaning = 512;
/// Beyond this the older half is dropped; callers state the parts, and may state many.
constexpr std::size_t max_parts = 4'096;
/// Part of the shared tokens that the expected engine is taken to keep when none is known.
constexpr double expected_part = 0.15;

/// The engine that gets a shared part first, by rendezvous; none without shared parts.
endpoint_id home_of(std::vector<endpoint_id> const& engines, prompt_parts const& prompt)
{
    if (prompt.size() < 2)
        return {};
    auto const hash = prompt[prompt.size() - 2].hash;
    return *std::max_element(
        engines.begin(), engines.end(),
        [&](endpoint_id const& left, endpoint_id const& right)
        { return stable_hash(left.value(), hash) < stable_hash(right.value(), hash); });
}

} // namespace

prompt_backlog::prompt_backlog(prompt_backlog_options initial)
    : options(initial)
    , common_pace(1 / initial.tokens_per_second)
{
}

double prompt_backlog::backlog_of(engine_state const& state, time_point now)
{
    auto const elapsed = to_seconds(std::max(duration(0), now - state.updated));
    return std::max(0.0, state.backlog - elapsed / state.seconds_per_token);
}

bool prompt_backlog::keeps(engine_state const& state, prompt_part const& part) const
{
    auto const found = state.parts.find(part.hash);
    return found != state.parts.end() && state.total - found->second <= this->options.cache_tokens;
}

double prompt_backlog::unread_tokens(endpoint_id const& engine, prompt_parts const& prompt) const
{
    auto const known = this->engines.find(engine);
    bool is_kept = known != this->engines.end();
    double tokens = 0;
    for (auto const& part : prompt)
    {
        // A part is kept for those prompts only that begin with the same parts.
        is_kept = is_kept && this->keeps(known->second, part);
        tokens += is_kept ? 0 : static_cast<double>(part.tokens);
    }
    return std::min(tokens, this->options.cache_tokens);
}

double prompt_backlog::shared_tokens(prompt_parts const& prompt) const
{
    double tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
        tokens += static_cast<double>(prompt[i].tokens);
    return std::min(tokens, this->options.cache_tokens);
}

duration prompt_backlog::reading_time(time_point now, endpoint_id const& engine,
                                      prompt_parts const& prompt) const
{
    auto const unread = this->unread_tokens(engine, prompt);
    auto const known = this->engines.find(engine);
    if (known == this->engines.end())
        return from_seconds(unread * this->common_pace);
    auto const& state = known->second;
    return from_seconds((backlog_of(state, now) + unread) * state.seconds_per_token);
}

double prompt_backlog::pace_of(endpoint_id const& engine) const
{
    auto const known = this->engines.find(engine);
    return known == this->engines.end() ? this->common_pace : known->second.seconds_per_token;
}

std::vector<duration> prompt_backlog::placement_costs(time_point now,
                                                      std::vector<endpoint_id> const& candidates,
                                                      prompt_parts const& prompt) const
{
    std::vector<double> unread;
    for (auto const& engine : candidates)
        unread.push_back(this->unread_tokens(engine, prompt));
    if (unread.empty())
        return {};
    auto const least = *std::min_element(unread.begin(), unread.end());
    // News of an engine that keeps the shared parts may be missing; all entries expect the
    // same engine to have them.
    bool const is_unknown = least >= this->shared_tokens(prompt);
    auto const home = home_of(candidates, prompt);
    std::vector<duration> costs;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        auto repeated = unread[i] - least;
        if (is_unknown && candidates[i] != home)
            repeated += expected_part * this->shared_tokens(prompt);
        auto const seconds =
            this->options.repeated_reading_cost * repeated * this->pace_of(candidates[i]);
        costs.push_back(this->reading_time(now, candidates[i], prompt) + from_seconds(seconds));
    }
    return costs;
}

prompt_backlog::engine_state& prompt_backlog::state_of(time_point now, endpoint_id const& engine,
                                                       incarnation start)
{
    auto& state = this->engines[engine];
    bool const is_new = state.seconds_per_token == 0;
    if (!is_new && start <= state.start)
        return state;
    state = engine_state();
    state.start = start;
    state.updated = now;
    state.seconds_per_token = this->common_pace;
    return state;
}

sent_prompt prompt_backlog::sent(time_point now, endpoint_id const& engine, incarnation start,
                                 prompt_parts const& prompt)
{
    this->forget_idle(now);
    auto const unread = this->unread_tokens(engine, prompt);
    auto& state = this->state_of(now, engine, start);
    state.backlog = backlog_of(state, now) + unread;
    state.updated = now;
    state.total += unread;
    for (auto const& part : prompt)
    {
        if (part.tokens > 0)
            state.parts[part.hash] = state.total;
    }
    this->drop_old_parts(state);
    return {now, state.total, state.backlog};
}

void prompt_backlog::answered(time_point now, endpoint_id const& engine, incarnation start,
                              sent_prompt const& prompt)
{
    auto const known = this->engines.find(engine);
    if (known == this->engines.end() || known->second.start != start)
        return;
    auto& state = known->second;
    if (prompt.tokens_ahead >= least_sample_tokens)
    {
        auto const elapsed = std::max<duration>(now - prompt.when - fixed_delay, least_sample_time);
        auto const assumed = 1 / this->options.tokens_per_second;
        auto const pace =
            std::clamp(to_seconds(elapsed) / prompt.tokens_ahead,
                       this->options.least_pace * assumed, this->options.most_pace * assumed);
        state.seconds_per_token += sample_weight * (pace - state.seconds_per_token);
        this->common_pace += sample_weight * (pace - this->common_pace);
    }
    // What was sent before the prompt has been read.
    state.backlog = std::min(backlog_of(state, now), state.total - prompt.position);
    state.updated = now;
}

std::size_t prompt_backlog::part_count() const
{
    std::size_t count = 0;
    for (auto const& [id, state] : this->engines)
        count += state.parts.size();
    return count;
}

void prompt_backlog::drop_old_parts(engine_state& state) const
{
    if (state.parts.size() < parts_before_cleaning)
        return;
    std::erase_if(state.parts, [&](auto const& item)
                  { return state.total - item.second > this->options.cache_tokens; });
    if (state.parts.size() <= max_parts)
        return;
    std::vector<double> used;
    for (auto const& [hash, total] : state.parts)
        used.push_back(total);
    auto const middle = used.begin() + static_cast<std::ptrdiff_t>(used.size() / 2);
    std::nth_element(used.begin(), middle, used.end());
    std::erase_if(state.parts, [&](auto const& item) { return item.second <= *middle; });
}

void prompt_backlog::forget_idle(time_point now)
{
    std::erase_if(this->engines, [&](auto const& item)
                  { return now - item.second.updated >= this->options.forget_after; });
}

} // namespace lagoonladder::request
