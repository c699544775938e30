#include "call_admission.hpp"

#include <algorithm>

namespace lagoonladder::proxy
{

namespace
{

/// Fraction of the connections an endpoint accepts that all entries together use.
constexpr double used_connection_fraction = 0.8;
/// Time to retry after while the configuration is missing; a starting entry reads it within about
/// this time.
constexpr duration configuration_wait = seconds(1);

double counted_tokens(incoming_call const& call, version::token_quota const& quota)
{
    if (!call.tokens)
        return static_cast<double>(quota.default_tokens);
    return static_cast<double>(call.tokens->prompt) + static_cast<double>(call.tokens->max_output);
}

refusal resolve_account(traffic_view const& view, incoming_call const& call, call_admission& result)
{
    if (!view.services->requires_key())
        return refusal::none;
    result.account = view.services->find_account_by_key(call.account_key);
    if (result.account == nullptr && !result.route->is_anonymous)
        return refusal::unknown_key;
    return refusal::none;
}

request::account_limit make_account_limit(version::token_quota const& quota,
                                          quota_tolerance const& tolerance)
{
    // The remaining fraction covers entries that count fewer entries than there are, and calls that
    // wait between their admission and their endpoint.
    constexpr double used_fraction = 0.6;
    auto const tokens_in_window =
        quota.tokens_per_second * to_seconds(tolerance.window) + quota.burst;
    auto const allowance =
        used_fraction * (tolerance.tokens + tolerance.overshoot * tokens_in_window);
    return {quota.tokens_per_second, quota.burst, allowance};
}

void set_decision(request::quota_decision const& decision, call_admission& result)
{
    result.reason = decision.granted ? refusal::none : refusal::over_quota;
    result.retry_after = decision.retry_after;
    result.shortage = decision.shortage;
}

} // namespace

void take_quota_tokens(time_point now, traffic_view const& view, incoming_call const& call,
                       request::account_quota& quotas, quota_tolerance const& tolerance,
                       call_admission& result)
{
    result.reason = refusal::none;
    if (result.account == nullptr || !result.account->quota)
        return;
    auto const inputs = make_quota_inputs(view, *result.account, tolerance);
    result.quota_tokens = counted_tokens(call, *result.account->quota);
    result.quota_demand = inputs.peers;
    set_decision(
        quotas.take(now, result.account->name, inputs.limit, inputs.peers, result.quota_tokens),
        result);
}

service_name choose_service(version::pass_through_route const& route, request_id const& call)
{
    std::uint64_t total = 0;
    for (auto const& target : route.split)
        total += target.weight;
    // The route is the seed, so that the split does not depend on other choices that hash the id.
    auto position = stable_hash(call.value(), stable_hash(route.name.value())) % total;
    for (auto const& target : route.split)
    {
        if (position < target.weight)
            return target.service;
        position -= target.weight;
    }
    return route.split.front().service;
}

quota_inputs make_quota_inputs(traffic_view const& view,
                               version::pass_through_account const& account,
                               quota_tolerance const& tolerance)
{
    quota_inputs inputs;
    inputs.limit = make_account_limit(*account.quota, tolerance);
    auto const demand = view.demand.find(account.name);
    if (demand != view.demand.end())
        inputs.peers = demand->second;
    inputs.peers.entries = entries_sharing_limits(view);
    inputs.peers.may_accrue = view.portion.may_accrue;
    auto const holders = quota_holders(view, account.name);
    inputs.peers.quota_holder_count = static_cast<std::uint32_t>(holders.size());
    inputs.peers.is_quota_holder = std::any_of(
        holders.begin(), holders.end(), [&](auto const& holder) { return holder.vm == view.vm; });
    return inputs;
}

char const* to_string(refusal reason)
{
    switch (reason)
    {
    case refusal::none:
        return "none";
    case refusal::malformed:
        return "malformed";
    case refusal::no_configuration:
        return "no_configuration";
    case refusal::unknown_route:
        return "unknown_route";
    case refusal::unknown_key:
        return "unknown_key";
    case refusal::quarantined_prompt:
        return "quarantined_prompt";
    case refusal::over_quota:
        return "over_quota";
    case refusal::no_endpoint:
        return "no_endpoint";
    case refusal::cold_endpoints:
        return "cold_endpoints";
    case refusal::overloaded:
        return "overloaded";
    case refusal::no_capacity:
        return "no_capacity";
    case refusal::too_late:
        return "too_late";
    case refusal::endpoint_failed:
        return "endpoint_failed";
    case refusal::timed_out:
        return "timed_out";
    }
    return "unknown";
}

char const* describe(refusal reason)
{
    if (reason == refusal::quarantined_prompt)
        return "a part of the prompt has crashed the engines that answered it; repeating the call "
               "does not help";
    return to_string(reason);
}

unsigned status_of(refusal reason)
{
    switch (reason)
    {
    case refusal::none:
        return 200;
    case refusal::malformed:
    // A repeated call has the same outcome, which a caller does not expect after a 503.
    case refusal::quarantined_prompt:
        return 400;
    case refusal::unknown_key:
        return 401;
    case refusal::unknown_route:
        return 404;
    case refusal::over_quota:
        return 429;
    case refusal::no_configuration:
    case refusal::no_endpoint:
    case refusal::cold_endpoints:
    case refusal::overloaded:
    case refusal::no_capacity:
    case refusal::too_late:
        return 503;
    case refusal::endpoint_failed:
        return 502;
    case refusal::timed_out:
        return 504;
    }
    return 500;
}

call_admission resolve_call(time_point now, time_point arrived, traffic_view const& view,
                            incoming_call const& call)
{
    call_admission result;
    result.retry_after = configuration_wait;
    result.services = view.services;
    result.configuration_validity =
        std::max<duration>(view.configuration_expiry - now, duration(0));
    result.reason = refusal::malformed;
    if (!call.problem.empty())
        return result;
    result.reason = refusal::no_configuration;
    if (!view.is_ready || !view.services)
        return result;
    result.route = view.services->find_route(call.host, call.target);
    result.reason = refusal::unknown_route;
    if (result.route != nullptr)
        result.reason = resolve_account(view, call, result);
    if (result.reason != refusal::none)
    {
        // The newer configuration, not read yet, may have the route or the key.
        if (is_configuration_outdated(now, view))
            result.reason = refusal::no_configuration;
        return result;
    }
    auto const time_limit =
        std::min(call.time_left.value_or(result.route->timeout), result.route->timeout);
    result.deadline = arrived + time_limit;
    if (result.deadline <= now)
        result.reason = refusal::too_late;
    return result;
}

call_admission admit(time_point now, time_point arrived, traffic_view const& view,
                     incoming_call const& call, crash_tracker& crashes,
                     request::account_quota& quotas, quota_tolerance const& tolerance)
{
    auto result = resolve_call(now, arrived, view, call);
    if (result.reason != refusal::none)
        return result;
    if (crashes.is_refused(now, view, call))
    {
        result.reason = refusal::quarantined_prompt;
        return result;
    }
    take_quota_tokens(now, view, call, quotas, tolerance, result);
    result.service = choose_service(*result.route, call.id);
    return result;
}

std::size_t connection_limit(traffic_view const& view, call_admission const& admission)
{
    auto const* service = admission.services->find_service(admission.service);
    if (service == nullptr || service->max_connections == 0)
        return 0;
    auto const connections =
        used_connection_fraction * service->max_connections / std::max(view.entries, 1U);
    return std::max<std::size_t>(2, static_cast<std::size_t>(connections));
}

void admit_again(time_point now, traffic_view const& view, request::account_quota& quotas,
                 quota_tolerance const& tolerance, double lent_tokens, call_admission& admission)
{
    if (admission.deadline <= now)
    {
        quotas.deposit(admission.account->name, lent_tokens);
        admission.reason = refusal::too_late;
        return;
    }
    auto const inputs = make_quota_inputs(view, *admission.account, tolerance);
    set_decision(quotas.take_with_loan(now, admission.account->name, inputs.limit, inputs.peers,
                                       admission.quota_tokens, lent_tokens),
                 admission);
}

} // namespace lagoonladder::proxy
