#include <lagoonladder/request/prompt_backlog.hpp>

#include <algorithm>
#include <limits>
#include <utility>

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
/// Own prompts over which news is counted, and those before it is judged. The share of news
/// that came is then known to within a seventh to a quarter.
constexpr double news_window = 64;
constexpr double least_news_window = 16;
/// Less of the expected news shows that it is lost; an entry with twice the load of others
/// hears half of what it tells.
constexpr double least_heard = 0.5;
/// Part of the shared tokens that the expected engine is taken to keep when none is known.
constexpr double expected_part = 0.15;

/// Part that the engine second by rendezvous is taken to keep, as a multiple of the first
/// one's: it gets the prompts that the first one is too busy for.
constexpr double second_expected = 0.5;

/// The engines that get a shared part first, by rendezvous; `none` without them.
struct part_order
{
    static constexpr std::size_t none = std::numeric_limits<std::size_t>::max();

    std::size_t first = none;
    std::size_t second = none;
};

part_order order_of(std::vector<endpoint_id> const& engines, prompt_parts const& prompt)
{
    part_order order;
    if (prompt.size() < 2)
        return order;
    auto const part = prompt[prompt.size() - 2].hash;
    std::uint64_t first = 0;
    std::uint64_t second = 0;
    for (std::size_t i = 0; i < engines.size(); ++i)
    {
        auto const hash = stable_hash(engines[i].value(), part);
        if (order.first == part_order::none || hash > first)
        {
            order.second = std::exchange(order.first, i);
            second = std::exchange(first, hash);
        }
        else if (order.second == part_order::none || hash > second)
        {
            order.second = i;
            second = hash;
        }
    }
    return order;
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

prompt_backlog::engine_state const* prompt_backlog::find(endpoint_id const& engine) const
{
    auto const known = this->engines.find(engine);
    return known == this->engines.end() ? nullptr : &known->second;
}

bool prompt_backlog::keeps(engine_state const& state, prompt_part const& part) const
{
    auto const found = state.parts.find(part.hash);
    // The engine has also read what this entry did not hear of.
    return found != state.parts.end() &&
           state.total - found->second <= this->options.cache_tokens * this->heard_share();
}

double prompt_backlog::unread_tokens(endpoint_id const& engine, prompt_parts const& prompt) const
{
    return this->unread_tokens(this->find(engine), prompt);
}

double prompt_backlog::unread_tokens(engine_state const* known, prompt_parts const& prompt) const
{
    bool is_kept = known != nullptr;
    double tokens = 0;
    for (auto const& part : prompt)
    {
        // A part is kept for those prompts only that begin with the same parts.
        is_kept = is_kept && this->keeps(*known, part);
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

std::vector<duration> prompt_backlog::placement_costs(time_point now,
                                                      std::vector<endpoint_id> const& candidates,
                                                      prompt_parts const& prompt) const
{
    std::vector<engine_state const*> states;
    std::vector<double> unread;
    for (auto const& engine : candidates)
    {
        states.push_back(this->find(engine));
        unread.push_back(this->unread_tokens(states.back(), prompt));
    }
    if (unread.empty())
        return {};
    auto const shared = this->shared_tokens(prompt);
    auto const own = prompt.empty() ? 0 : static_cast<double>(prompt.back().tokens);
    // News of an engine that keeps the shared parts may be missing; all entries expect the
    // same engines to have them.
    bool const is_unknown = *std::min_element(unread.begin(), unread.end()) >= shared;
    auto const unheard = 1 - this->heard_share();
    auto const order = order_of(candidates, prompt);
    auto expected = unread;
    auto const expect = [&](std::size_t engine, double part)
    {
        if (engine != part_order::none)
            expected[engine] = std::min(unread[engine], own + (1 - part) * shared);
    };
    expect(order.first, is_unknown ? std::max(expected_part, unheard) : unheard);
    expect(order.second, second_expected * unheard);
    auto const least = *std::min_element(expected.begin(), expected.end());
    std::vector<duration> costs;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        auto const* state = states[i];
        auto const pace = state == nullptr ? this->common_pace : state->seconds_per_token;
        auto const backlog = state == nullptr ? 0 : backlog_of(*state, now);
        auto const repeated = this->options.repeated_reading_cost * (expected[i] - least);
        costs.push_back(from_seconds((backlog + unread[i] + repeated) * pace));
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

double prompt_backlog::heard_share() const
{
    auto const others = static_cast<double>(this->entries - 1);
    auto told = std::min(static_cast<double>(this->options.news_receivers), others);
    // Each entry hears of as many prompts as it tells others of.
    auto const expected = this->own_prompts * told;
    if (this->own_prompts >= least_news_window && this->heard_prompts < least_heard * expected)
        told *= this->heard_prompts / expected;
    return (1 + told) / (1 + others);
}

sent_prompt prompt_backlog::sent(time_point now, endpoint_id const& engine, incarnation start,
                                 prompt_parts const& prompt)
{
    if (this->own_prompts >= news_window)
    {
        this->own_prompts /= 2;
        this->heard_prompts /= 2;
    }
    ++this->own_prompts;
    return this->add(now, engine, start, prompt);
}

void prompt_backlog::notice_received(time_point now, endpoint_id const& engine, incarnation start,
                           prompt_parts const& prompt)
{
    ++this->heard_prompts;
    this->add(now, engine, start, prompt);
}

sent_prompt prompt_backlog::add(time_point now, endpoint_id const& engine, incarnation start,
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

void prompt_backlog::first_token_received(time_point now, endpoint_id const& engine, incarnation start,
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
        // The time includes prompts that were not notice_received of.
        auto const weight = sample_weight * this->heard_share();
        state.seconds_per_token += weight * (pace - state.seconds_per_token);
        this->common_pace += weight * (pace - this->common_pace);
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
