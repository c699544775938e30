#include "engine_model.hpp"

#include <algorithm>

namespace lagoonladder::study
{

namespace
{

/// Time from the end of the prefill to the arrival of the first token at the caller.
constexpr duration first_token_delay = milliseconds(30);

} // namespace

double engine_model::uncached_tokens(request::prompt_parts const& prompt) const
{
    bool is_cached = true;
    double tokens = 0;
    for (auto const& part : prompt)
    {
        is_cached = is_cached && this->parts.contains(part.hash);
        tokens += is_cached ? 0 : static_cast<double>(part.tokens);
    }
    return tokens;
}

time_point engine_model::submit(time_point now, request::prompt_parts const& prompt)
{
    auto const begins = this->wait_for_slot(now);
    auto const tokens = this->uncached_tokens(prompt);
    this->prefilled += tokens;
    for (auto const& part : prompt)
        this->cache_part(part);
    auto const factor =
        this->slowness * (1 + this->decoding.slowdown * static_cast<double>(this->running.size()));
    this->free_at =
        std::max(this->free_at, begins) + from_seconds(tokens * factor / tokens_per_second);
    if (this->decoding.time > duration(0) && !prompt.empty())
    {
        auto const own = static_cast<double>(prompt.back().tokens);
        this->running.push_back({this->free_at + this->decoding.time, own});
        this->running_tokens += own;
    }
    return this->free_at + first_token_delay;
}

time_point engine_model::wait_for_slot(time_point now)
{
    auto begins = now;
    while (!this->running.empty() &&
           (this->running.front().ends <= now || this->running.size() >= this->decoding.slots))
    {
        begins = std::max(begins, this->running.front().ends);
        this->running_tokens -= this->running.front().tokens;
        this->running.pop_front();
    }
    return begins;
}

void engine_model::cache_part(request::prompt_part const& part)
{
    auto const found = this->parts.find(part.hash);
    if (found != this->parts.end())
    {
        this->order.splice(this->order.begin(), this->order, found->second);
        return;
    }
    auto const tokens = static_cast<double>(part.tokens);
    this->order.push_front({part.hash, tokens});
    this->parts.emplace(part.hash, this->order.begin());
    this->cached_tokens += tokens;
    while (this->cached_tokens + this->running_tokens > cache_tokens && this->order.size() > 1)
    {
        this->cached_tokens -= this->order.back().tokens;
        this->parts.erase(this->order.back().hash);
        this->order.pop_back();
    }
}

} // namespace lagoonladder::study
