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
/// Response times of shorter prompts depend more on other delays than on the prefill speed.
constexpr double min_sample_tokens = 3'000;
/// Delay that does not depend on the prompt, such as the network and the first decoding step.
constexpr duration fixed_delay = milliseconds(20);
constexpr duration min_sample_time = milliseconds(5);
/// Number of stored parts of an engine from which on old parts are searched for and dropped.
constexpr std::size_t min_parts_to_clean = 512;
/// When more parts than this are left, the older half is dropped. Callers state the parts and may
/// state any number of them.
constexpr std::size_t max_parts = 4'096;
/// Number of own prompts over which received notices are counted, and minimum number before the
/// count is evaluated. The received fraction is then known to within a seventh to a quarter.
constexpr double notice_window = 64;
constexpr double min_notice_window = 16;
/// Receiving a smaller fraction of the expected notices shows that notices are lost. A larger one
/// may have another reason: an entry with twice the load of the others receives half as many
/// notices as it sends.
constexpr double min_received_fraction = 0.5;
/// Fraction of the shared tokens that the first engine by rendezvous hashing is assumed to have
/// cached when no engine is known to have them.
constexpr double expected_cached_fraction = 0.15;
/// Fraction that the second engine by rendezvous hashing is assumed to have cached, as a multiple
/// of that of the first one: it receives the prompts for which the first one is too busy.
constexpr double second_choice_factor = 0.5;

/// Indices of the engines that come first and second for a shared part by rendezvous hashing;
/// `none` when there is no such engine.
struct rendezvous_order
{
    static constexpr std::size_t none = std::numeric_limits<std::size_t>::max();

    std::size_t first = none;
    std::size_t second = none;
};

rendezvous_order find_rendezvous_order(std::vector<endpoint_id> const& engines,
                                       prompt_parts const& prompt)
{
    rendezvous_order order;
    if (prompt.size() < 2)
        return order;
    auto const part_hash = prompt[prompt.size() - 2].hash;
    std::uint64_t first_hash = 0;
    std::uint64_t second_hash = 0;
    for (std::size_t i = 0; i < engines.size(); ++i)
    {
        auto const hash = stable_hash(engines[i].value(), part_hash);
        if (order.first == rendezvous_order::none || hash > first_hash)
        {
            order.second = std::exchange(order.first, i);
            second_hash = std::exchange(first_hash, hash);
        }
        else if (order.second == rendezvous_order::none || hash > second_hash)
        {
            order.second = i;
            second_hash = hash;
        }
    }
    return order;
}

} // namespace

prompt_backlog::prompt_backlog(prompt_backlog_options initial)
    : options(initial)
    , mean_seconds_per_token(1 / initial.tokens_per_second)
{
}

double prompt_backlog::backlog_of(engine_state const& state, time_point now)
{
    auto const elapsed = to_seconds(std::max(duration(0), now - state.updated));
    return std::max(0.0, state.backlog - elapsed / state.seconds_per_token);
}

prompt_backlog::engine_state const* prompt_backlog::find(endpoint_id const& engine) const
{
    auto const found = this->engines.find(engine);
    return found == this->engines.end() ? nullptr : &found->second;
}

bool prompt_backlog::has_cached(engine_state const& state, prompt_part const& part) const
{
    auto const found = state.parts.find(part.hash);
    // The engine has also prefilled prompts of which this entry received no notice.
    return found != state.parts.end() &&
           state.total - found->second <= this->options.cache_tokens * this->received_share();
}

double prompt_backlog::uncached_tokens(endpoint_id const& engine, prompt_parts const& prompt) const
{
    return this->uncached_tokens(this->find(engine), prompt);
}

double prompt_backlog::uncached_tokens(engine_state const* state, prompt_parts const& prompt) const
{
    bool is_cached = state != nullptr;
    double tokens = 0;
    for (auto const& part : prompt)
    {
        // A part is cached only for prompts that begin with the same parts.
        is_cached = is_cached && this->has_cached(*state, part);
        tokens += is_cached ? 0 : static_cast<double>(part.tokens);
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

duration prompt_backlog::prefill_time(time_point now, endpoint_id const& engine,
                                      prompt_parts const& prompt) const
{
    auto const uncached = this->uncached_tokens(engine, prompt);
    auto const found = this->engines.find(engine);
    if (found == this->engines.end())
        return from_seconds(uncached * this->mean_seconds_per_token);
    auto const& state = found->second;
    return from_seconds((backlog_of(state, now) + uncached) * state.seconds_per_token);
}

std::vector<duration> prompt_backlog::placement_costs(time_point now,
                                                      std::vector<endpoint_id> const& candidates,
                                                      prompt_parts const& prompt) const
{
    std::vector<engine_state const*> states;
    std::vector<double> uncached;
    for (auto const& engine : candidates)
    {
        states.push_back(this->find(engine));
        uncached.push_back(this->uncached_tokens(states.back(), prompt));
    }
    if (uncached.empty())
        return {};
    auto const shared = this->shared_tokens(prompt);
    auto const own_tokens = prompt.empty() ? 0 : static_cast<double>(prompt.back().tokens);
    // An engine may have cached the shared parts although this entry has no notice of it. All
    // entries expect the same engines to have them.
    bool const is_cached_nowhere = *std::min_element(uncached.begin(), uncached.end()) >= shared;
    auto const missed_share = 1 - this->received_share();
    auto const order = find_rendezvous_order(candidates, prompt);
    auto expected = uncached;
    auto const set_expected = [&](std::size_t engine, double cached_fraction)
    {
        if (engine != rendezvous_order::none)
            expected[engine] =
                std::min(uncached[engine], own_tokens + (1 - cached_fraction) * shared);
    };
    set_expected(order.first, is_cached_nowhere ? std::max(expected_cached_fraction, missed_share)
                                                : missed_share);
    set_expected(order.second, second_choice_factor * missed_share);
    auto const min_tokens = *std::min_element(expected.begin(), expected.end());
    std::vector<duration> costs;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        auto const* state = states[i];
        auto const token_time =
            state == nullptr ? this->mean_seconds_per_token : state->seconds_per_token;
        auto const backlog = state == nullptr ? 0 : backlog_of(*state, now);
        auto const repeated_cost = this->options.repeated_prefill_cost * (expected[i] - min_tokens);
        auto const work = from_seconds((backlog + uncached[i]) * token_time);
        auto const deviation = this->stated_speeds.deviation(now, candidates[i], work);
        costs.push_back(
            from_seconds((backlog + uncached[i] + repeated_cost) * token_time * deviation));
    }
    return costs;
}

prompt_backlog::engine_state&
prompt_backlog::find_or_reset(time_point now, endpoint_id const& engine, incarnation start)
{
    auto& state = this->engines[engine];
    bool const is_new = state.seconds_per_token == 0;
    if (!is_new && start <= state.start)
        return state;
    state = engine_state();
    state.start = start;
    state.updated = now;
    state.seconds_per_token = this->mean_seconds_per_token;
    return state;
}

double prompt_backlog::received_share() const
{
    auto const others = static_cast<double>(this->entry_count - 1);
    auto receivers = std::min(static_cast<double>(this->options.notice_receivers), others);
    // Each entry receives as many notices on average as it sends.
    auto const expected = this->own_prompts * receivers;
    if (this->own_prompts >= min_notice_window &&
        this->received_notices < min_received_fraction * expected)
        receivers *= this->received_notices / expected;
    return (1 + receivers) / (1 + others);
}

sent_prompt prompt_backlog::sent(time_point now, endpoint_id const& engine, incarnation start,
                                 prompt_parts const& prompt)
{
    if (this->own_prompts >= notice_window)
    {
        this->own_prompts /= 2;
        this->received_notices /= 2;
    }
    ++this->own_prompts;
    return this->add_prompt(now, engine, start, prompt);
}

void prompt_backlog::notice_received(time_point now, endpoint_id const& engine, incarnation start,
                                     prompt_parts const& prompt)
{
    ++this->received_notices;
    this->add_prompt(now, engine, start, prompt);
}

sent_prompt prompt_backlog::add_prompt(time_point now, endpoint_id const& engine, incarnation start,
                                       prompt_parts const& prompt)
{
    this->remove_idle_engines(now);
    auto const uncached = this->uncached_tokens(engine, prompt);
    auto& state = this->find_or_reset(now, engine, start);
    state.backlog = backlog_of(state, now) + uncached;
    state.updated = now;
    state.total += uncached;
    for (auto const& part : prompt)
    {
        if (part.tokens > 0)
            state.parts[part.hash] = state.total;
    }
    this->drop_old_parts(state);
    return {now, state.total, state.backlog};
}

void prompt_backlog::first_token_received(time_point now, endpoint_id const& engine,
                                          incarnation start, sent_prompt const& prompt)
{
    auto const found = this->engines.find(engine);
    if (found == this->engines.end() || found->second.start != start)
        return;
    auto& state = found->second;
    if (prompt.tokens_ahead >= min_sample_tokens)
    {
        auto const elapsed =
            std::max<duration>(now - prompt.sent_at - fixed_delay, min_sample_time);
        auto const assumed_time = 1 / this->options.tokens_per_second;
        auto const deviation = this->stated_speeds.deviation(now, engine, elapsed);
        auto const measured_time = to_seconds(elapsed) / prompt.tokens_ahead / deviation;
        auto const token_time =
            std::clamp(measured_time, this->options.min_time_per_token_factor * assumed_time,
                       this->options.max_time_per_token_factor * assumed_time);
        // The measured time includes prompts of which this entry received no notice.
        auto const weight = sample_weight * this->received_share();
        state.seconds_per_token += weight * (token_time - state.seconds_per_token);
        this->mean_seconds_per_token += weight * (token_time - this->mean_seconds_per_token);
    }
    // Everything that was sent before this prompt has been prefilled.
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
    if (state.parts.size() < min_parts_to_clean)
        return;
    std::erase_if(state.parts, [&](auto const& item)
                  { return state.total - item.second > this->options.cache_tokens; });
    if (state.parts.size() <= max_parts)
        return;
    std::vector<double> last_uses;
    for (auto const& [hash, total] : state.parts)
        last_uses.push_back(total);
    auto const median = last_uses.begin() + static_cast<std::ptrdiff_t>(last_uses.size() / 2);
    std::nth_element(last_uses.begin(), median, last_uses.end());
    std::erase_if(state.parts, [&](auto const& item) { return item.second <= *median; });
}

void prompt_backlog::remove_idle_engines(time_point now)
{
    std::erase_if(this->engines, [&](auto const& item)
                  { return now - item.second.updated >= this->options.max_idle; });
    this->stated_speeds.expire(now);
}

} // namespace lagoonladder::request
