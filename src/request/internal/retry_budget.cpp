#include <lagoonladder/request/retry_budget.hpp>

#include <algorithm>

namespace lagoonladder::request
{

char const* to_string(retry_refusal refusal)
{
    switch (refusal)
    {
    case retry_refusal::none:
        return "none";
    case retry_refusal::not_idempotent:
        return "not_idempotent";
    case retry_refusal::budget_exhausted:
        return "budget_exhausted";
    case retry_refusal::deadline:
        return "deadline";
    }
    return "invalid";
}

retry_budget::retry_budget(retry_budget_options initial)
    : options(initial)
    , available_tokens(initial.starts_empty ? 0 : initial.burst)
{
}

void retry_budget::first_attempt()
{
    this->available_tokens =
        std::min(this->options.burst, this->available_tokens + this->options.share);
}

retry_decision retry_budget::retry(time_point now, retry_query const& query, random_source& random)
{
    if (query.dispatched && !query.idempotent)
        return {std::nullopt, retry_refusal::not_idempotent};
    if (this->available_tokens < 1)
        return {std::nullopt, retry_refusal::budget_exhausted};
    auto const doublings = std::min<std::uint32_t>(std::max(query.attempts, 1U) - 1, 16);
    auto const bound = std::min<duration>(this->options.base_delay * (std::int64_t(1) << doublings),
                                          this->options.max_delay);
    auto const delay = from_seconds(to_seconds(bound) * random.unit());
    if (now + delay + query.expected_time >= query.deadline)
        return {std::nullopt, retry_refusal::deadline};
    this->available_tokens -= 1;
    return {delay, retry_refusal::none};
}

void retry_budget::set_burst(double burst)
{
    this->options.burst = burst;
    this->available_tokens = std::min(this->available_tokens, burst);
}

void retry_budget::set_share(double share)
{
    this->options.share = share;
}

} // namespace lagoonladder::request
