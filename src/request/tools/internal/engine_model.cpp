#include "engine_model.hpp"

#include <algorithm>

namespace lagoonladder::study
{

namespace
{

/// From the end of reading to the first token at the caller.
constexpr duration first_token_delay = milliseconds(30);

} // namespace

double engine_model::unread_tokens(request::prompt_parts const& prompt) const
{
    bool is_kept = true;
    double tokens = 0;
    for (auto const& part : prompt)
    {
        is_kept = is_kept && this->parts.contains(part.hash);
        tokens += is_kept ? 0 : static_cast<double>(part.tokens);
    }
    return tokens;
}

time_point engine_model::submit(time_point now, request::prompt_parts const& prompt)
{
    auto const tokens = this->unread_tokens(prompt);
    this->read += tokens;
    for (auto const& part : prompt)
        this->keep(part);
    auto const time = from_seconds(tokens * this->slowness / tokens_per_second);
    this->free_at = std::max(this->free_at, now) + time;
    return this->free_at + first_token_delay;
}

void engine_model::keep(request::prompt_part const& part)
{
    auto const known = this->parts.find(part.hash);
    if (known != this->parts.end())
    {
        this->order.splice(this->order.begin(), this->order, known->second);
        return;
    }
    auto const tokens = static_cast<double>(part.tokens);
    this->order.push_front({part.hash, tokens});
    this->parts.emplace(part.hash, this->order.begin());
    this->kept_tokens += tokens;
    while (this->kept_tokens > cache_tokens && this->order.size() > 1)
    {
        this->kept_tokens -= this->order.back().tokens;
        this->parts.erase(this->order.back().hash);
        this->order.pop_back();
    }
}

} // namespace lagoonladder::study
