#include <lagoonladder/request/overload_admission.hpp>

#include <algorithm>

namespace lagoonladder::request
{

namespace
{

/// No call is refused while a smaller fraction of the slots is taken and nothing waits.
constexpr double min_occupancy = 0.5;
/// Wait, as a multiple of the latency objective, above which a call would miss it by much.
constexpr double max_wait_factor = 2;
/// Fraction of the limit that each step of priority takes away, and the least that is left.
constexpr double priority_step = 0.1;
constexpr double min_priority_factor = 0.5;
/// Least fraction of the limit that is left to an account above its fair share.
constexpr double min_account_factor = 0.5;
/// Fraction of the limit below and above it between which the chance of a refusal rises from 0 to
/// 1. Entries that see the same wait would otherwise all send or all refuse.
constexpr double limit_softness = 0.25;
/// Fraction of the limit from which on a favoured kind is refused.
constexpr double favoured_limit_factor = 0.25;
/// Least latency objective that is assumed, for routes without a useful one.
constexpr duration min_objective = milliseconds(100);
/// Time without calls after which a kind no longer counts.
constexpr duration kind_retention = seconds(30);

bool is_short(service_load const& load)
{
    return load.waiting > 0 || load.running >= min_occupancy * load.slots;
}

/// Decides by chance near the limit, for sure beyond.
bool exceeds(duration wait, duration limit, random_source& random)
{
    auto const ratio = to_seconds(wait) / std::max(to_seconds(limit), 1e-9);
    auto const chance = (ratio - (1 - limit_softness)) / (2 * limit_softness);
    return random.unit() < chance;
}

} // namespace

char const* to_string(overload_outcome outcome)
{
    switch (outcome)
    {
    case overload_outcome::sent:
        return "sent";
    case overload_outcome::sent_to_wait:
        return "sent_to_wait";
    case overload_outcome::past_deadline:
        return "past_deadline";
    case overload_outcome::wait_too_long:
        return "wait_too_long";
    case overload_outcome::less_urgent:
        return "less_urgent";
    }
    return "unknown";
}

overload_decision overload_admission::decide(time_point now, overload_query const& query,
                                             random_source& random)
{
    this->record_kind(now, query);
    auto& shares = this->groups[query.regions].shares;
    overload_decision decision;
    if (is_short(query.load))
    {
        decision.wait_limit = this->wait_limit(now, query, shares);
        decision.outcome = this->judge(now, query, shares, decision.wait_limit, random);
    }
    shares.record(now, query.account, query.priority, !decision.is_refused());
    if (decision.is_refused())
        decision.retry_after = this->retry_after(
            now, query.regions, query.priority,
            wait_of(now, query, shares) - decision.wait_limit / 2, query.time_left, random);
    return decision;
}

overload_outcome overload_admission::judge(time_point now, overload_query const& query,
                                           call_shares const& shares, duration limit,
                                           random_source& random) const
{
    auto const wait = wait_of(now, query, shares);
    if (query.first_event > query.time_left)
        return overload_outcome::past_deadline;
    auto const outcome_if_sent =
        wait > duration(0) ? overload_outcome::sent_to_wait : overload_outcome::sent;
    if (shares.is_underserved(now, query.account))
        return outcome_if_sent;
    if (exceeds(wait, limit, random))
        return overload_outcome::wait_too_long;
    bool const is_scarce = to_seconds(wait) > favoured_limit_factor * to_seconds(limit);
    if (is_scarce && shares.is_favoured(now, query.priority))
        return overload_outcome::less_urgent;
    return outcome_if_sent;
}

duration overload_admission::wait_of(time_point now, overload_query const& query,
                                     call_shares const& shares)
{
    return from_seconds(to_seconds(query.load.wait) * shares.wait_fraction(now, query.priority));
}

duration overload_admission::wait_limit(time_point now, overload_query const& query,
                                        call_shares const& shares) const
{
    auto const objective = std::max(this->tightest_objective(query), min_objective);
    auto const priority_factor = std::max(min_priority_factor, 1 - priority_step * query.priority);
    auto const account_factor =
        std::max(min_account_factor, shares.fair_fraction(now, query.account));
    return from_seconds(max_wait_factor * priority_factor * account_factor * to_seconds(objective));
}

duration overload_admission::tightest_objective(overload_query const& query) const
{
    auto objective = query.latency_objective;
    for (auto const& [key, kind] : this->kinds)
    {
        if (key.first <= query.priority)
            objective = std::min(objective, kind.latency_objective);
    }
    return objective;
}

void overload_admission::record_kind(time_point now, overload_query const& query)
{
    this->kinds[{query.priority, query.route}] = {query.latency_objective, now};
    std::erase_if(this->kinds,
                  [&](auto const& item) { return now - item.second.last_seen > kind_retention; });
}

void overload_admission::withdraw(time_point now, counted_call const& call)
{
    this->groups[call.regions].shares.withdraw(now, call.decided, call.account, call.priority);
}

void overload_admission::record_failure(time_point now, counted_call const& call)
{
    this->withdraw(now, call);
    this->groups[call.regions].shares.record(now, call.account, call.priority, false);
}

duration overload_admission::retry_after(time_point now, call_regions const& regions,
                                         std::uint32_t priority, duration min_wait,
                                         duration time_left, random_source& random)
{
    auto& group = this->groups[regions];
    return group.returns.next(now, priority, {min_wait, time_left, group.shares.served_rate(now)},
                              random);
}

} // namespace lagoonladder::request
