#ifndef LAGOONLADDER_REQUEST_RETRY_BUDGET_HPP
#define LAGOONLADDER_REQUEST_RETRY_BUDGET_HPP

#include <cstdint>
#include <optional>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

struct retry_budget_options
{
    /// Retries as a share of first attempts.
    double share = 0.1;
    /// Retries that may be saved up; also what a new budget holds.
    double burst = 10;
    /// Bound of the first delay; doubles with each retry of the request.
    duration base_delay = milliseconds(25);
    duration max_delay = seconds(1);
};

/// What a retry is asked for.
struct retry_query
{
    /// Attempts of the request so far, 1 after the first.
    std::uint32_t attempts = 1;
    time_point deadline{};
    bool idempotent = false;
    /// Whether a byte of the request may have reached an endpoint.
    bool dispatched = true;
    /// Shortest time in which another attempt can succeed.
    duration expected_time{};
};

enum class retry_refusal
{
    none,
    /// Dispatched work that is not idempotent is never sent again.
    not_idempotent,
    budget_exhausted,
    deadline
};

char const* to_string(retry_refusal refusal);

struct retry_decision
{
    /// Time to wait before the retry; no value when there is none.
    std::optional<duration> delay;
    retry_refusal refusal = retry_refusal::none;
};

/// Token budget of one service: each first attempt adds `share` tokens, each retry
/// takes one, so that an outage does not multiply the load. Not safe for concurrent calls.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {});

    void first_attempt();

    /// Decides on one retry and takes its token when granted. The delay has full jitter.
    retry_decision retry(time_point now, retry_query const& query, random_source& random);

    /// Takes over another share when the configuration changed.
    void set_share(double share);

    double tokens() const { return this->available; }

private:
    retry_budget_options options;
    double available;
};

} // namespace lagoonladder::request

#endif
