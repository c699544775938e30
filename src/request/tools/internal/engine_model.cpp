#include "engine_model.hpp"

#include <algorithm>

namespace lagoonladder::study
{

namespace
{

/// Time from the end of the prefill to the arrival of the first token at the caller.
constexpr duration first_token_delay = milliseconds(30);

} // namespace

double uneven_model::variable_factor(time_point now) const
{
    auto const number = static_cast<std::uint64_t>(now.time_since_epoch() / this->period);
    auto const position = seeded_random(this->seed * 1'000'003 + number).unit();
    return position < this->slow_fraction ? this->slow_factor : 1;
}

time_point uneven_model::end_of_work(time_point begins, duration work) const
{
    if (this->slow_fraction == 0 && this->constant_factor == 1)
        return begins + work;
    auto now = begins;
    auto left = work;
    while (this->slow_fraction > 0)
    {
        auto const factor = this->constant_factor * this->variable_factor(now);
        auto const current = now.time_since_epoch() / this->period;
        auto const period_end = time_point((current + 1) * this->period);
        auto const possible = from_seconds(to_seconds(period_end - now) / factor);
        if (possible >= left)
            return now + from_seconds(to_seconds(left) * factor);
        left -= possible;
        now = period_end;
    }
    return now + from_seconds(to_seconds(left) * this->constant_factor);
}

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
    auto const prefill_begins = std::max(this->free_at, begins);
    this->free_at =
        this->uneven.end_of_work(prefill_begins, from_seconds(tokens * factor / tokens_per_second));
    this->prefill_time = this->free_at - prefill_begins;
    if (this->decoding.time > duration(0) && !prompt.empty())
        this->start_decoding(static_cast<double>(prompt.back().tokens));
    return this->free_at + first_token_delay;
}

void engine_model::start_decoding(double tokens)
{
    auto work = this->decoding.time;
    if (this->decoding.is_prolonged)
        work = from_seconds(to_seconds(work) * (1 + this->decoding.slowdown *
                                                        static_cast<double>(this->running.size())));
    auto const ends = this->uneven.end_of_work(this->free_at, work);
    this->decode_time = ends - this->free_at;
    auto const later = std::upper_bound(this->running.begin(), this->running.end(), ends,
                                        [](time_point end, running_request const& other)
                                        { return end < other.ends; });
    this->running.insert(later, {ends, tokens});
    this->running_tokens += tokens;
}

std::size_t engine_model::open_requests(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(this->running.begin(), this->running.end(),
                                                  [&](running_request const& request)
                                                  { return request.ends > now; }));
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
