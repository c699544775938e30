#ifndef LAGOONLADDER_REQUEST_RETRY_BUDGET_HPP
#define LAGOONLADDER_REQUEST_RETRY_BUDGET_HPP

#include <cstdint>
#include <optional>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

struct retry_budget_options
{
    /// Number of retries allowed per first attempt.
    double share = 0.1;
    /// Maximum number of retries that can accumulate; a new budget starts with this many.
    double burst = 10;
    /// Whether a new budget starts without retries instead.
    bool starts_empty = false;
    /// Upper bound of the delay before the first retry; doubles with each further retry of the
    /// request.
    duration base_delay = milliseconds(25);
    duration max_delay = seconds(1);
};

/// Properties of a request for which a retry is considered.
struct retry_query
{
    /// Number of attempts of the request so far; 1 after the first.
    std::uint32_t attempts = 1;
    time_point deadline{};
    bool idempotent = false;
    /// Whether a byte of the request may have reached an endpoint.
    bool dispatched = true;
    /// Minimum time in which another attempt can succeed.
    duration expected_time{};
};

/// Reason why no retry is allowed.
enum class retry_refusal
{
    none,
    /// Non-idempotent work that was dispatched is never sent again.
    not_idempotent,
    budget_exhausted,
    deadline
};

char const* to_string(retry_refusal refusal);

struct retry_decision
{
    /// Time to wait before the retry; no value when no retry is allowed.
    std::optional<duration> delay;
    retry_refusal refusal = retry_refusal::none;
};

/// Token bucket of the retries of one service: each first attempt adds `share` tokens, and each
/// retry takes one, so that an outage does not multiply the load. Not safe for concurrent calls.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {});

    /// Records the first attempt of a request, which adds `share` tokens.
    void first_attempt();

    /// Decides on one retry, and takes its token when the retry is allowed. The delay has full
    /// jitter.
    retry_decision retry(time_point now, retry_query const& query, random_source& random);

    /// Changes the share after a change of the configuration.
    void set_share(double share);

    /// Changes the burst. Retries beyond a smaller burst are lost; a larger one fills by the share.
    void set_burst(double burst);

    /// Fills the budget to its burst.
    void fill() { this->available_tokens = this->options.burst; }

    double tokens() const { return this->available_tokens; }

private:
    retry_budget_options options;
    double available_tokens;
};

} // namespace lagoonladder::request

#endif
