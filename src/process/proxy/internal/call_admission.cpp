#include "call_admission.hpp"

#include <algorithm>

namespace lagoonladder::proxy
{

namespace
{

/// Part of the connections an endpoint accepts that the entries use together.
constexpr double used_connection_part = 0.8;
/// A starting entry has the configuration within about this time.
constexpr duration configuration_wait = seconds(1);

service_name choose_service(version::pass_through_route const& route, request_id const& call)
{
    std::uint64_t total = 0;
    for (auto const& part : route.split)
        total += part.weight;
    // Seeded by the route, so that the split is independent of other choices by the id.
    auto position = stable_hash(call.value(), stable_hash(route.name.value())) % total;
    for (auto const& part : route.split)
    {
        if (position < part.weight)
            return part.service;
        position -= part.weight;
    }
    return route.split.front().service;
}

double tokens_of(incoming_call const& call, version::token_quota const& quota)
{
    if (!call.tokens)
        return static_cast<double>(quota.default_tokens);
    return static_cast<double>(call.tokens->prompt) + static_cast<double>(call.tokens->most_output);
}

refusal check_account(traffic_view const& view, incoming_call const& call, admitted_call& result)
{
    if (!view.services->has_accounts())
        return refusal::none;
    result.account = view.services->find_account_by_key(call.account_key);
    if (result.account == nullptr && !result.route->is_anonymous)
        return refusal::unknown_key;
    return refusal::none;
}

request::account_limit limit_of(version::token_quota const& quota, quota_tolerance const& tolerance)
{
    // The rest covers entries whose view of each other's demand is old.
    constexpr double used_part = 0.6;
    auto const in_span = quota.tokens_per_second * to_seconds(tolerance.span) + quota.burst;
    auto const allowance = used_part * (tolerance.tokens + tolerance.overshoot * in_span);
    return {quota.tokens_per_second, quota.burst, allowance};
}

void set_decision(request::quota_decision const& decision, admitted_call& result)
{
    result.reason = decision.granted ? refusal::none : refusal::over_quota;
    result.retry_after = decision.retry_after;
    result.missing_tokens = decision.missing;
}

void check_quota(time_point now, traffic_view const& view, incoming_call const& call,
                 request::account_quota& quotas, quota_tolerance const& tolerance,
                 admitted_call& result)
{
    result.reason = refusal::none;
    if (result.account == nullptr || !result.account->quota)
        return;
    auto const situation = quota_situation_of(view, *result.account, tolerance);
    result.quota_tokens = tokens_of(call, *result.account->quota);
    result.quota_demand = situation.peers;
    set_decision(quotas.take(now, result.account->name, situation.limit, situation.peers,
                             result.quota_tokens),
                 result);
}

} // namespace

quota_situation quota_situation_of(traffic_view const& view, version::pass_through_account const& account,
                                   quota_tolerance const& tolerance)
{
    quota_situation situation;
    situation.limit = limit_of(*account.quota, tolerance);
    auto const told = view.demand.find(account.name);
    if (told != view.demand.end())
        situation.peers = told->second;
    situation.peers.entries = view.entries;
    auto const keepers = quota_keepers(view, account.name);
    situation.peers.keepers = static_cast<std::uint32_t>(keepers.size());
    situation.peers.is_keeper = std::any_of(
        keepers.begin(), keepers.end(), [&](auto const& keeper) { return keeper.vm == view.vm; });
    return situation;
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
    case refusal::over_quota:
        return "over_quota";
    case refusal::no_endpoint:
        return "no_endpoint";
    case refusal::overloaded:
        return "overloaded";
    case refusal::too_late:
        return "too_late";
    case refusal::endpoint_failed:
        return "endpoint_failed";
    case refusal::timed_out:
        return "timed_out";
    }
    return "unknown";
}

unsigned status_of(refusal reason)
{
    switch (reason)
    {
    case refusal::none:
        return 200;
    case refusal::malformed:
        return 400;
    case refusal::unknown_key:
        return 401;
    case refusal::unknown_route:
        return 404;
    case refusal::over_quota:
        return 429;
    case refusal::no_configuration:
    case refusal::no_endpoint:
    case refusal::overloaded:
    case refusal::too_late:
        return 503;
    case refusal::endpoint_failed:
        return 502;
    case refusal::timed_out:
        return 504;
    }
    return 500;
}

admitted_call admit(time_point now, time_point arrived, traffic_view const& view,
                    incoming_call const& call, request::account_quota& quotas,
                    quota_tolerance const& tolerance)
{
    admitted_call result;
    result.retry_after = configuration_wait;
    result.services = view.services;
    result.reason = refusal::malformed;
    if (!call.problem.empty())
        return result;
    result.reason = refusal::no_configuration;
    if (!view.is_ready || !view.services)
        return result;
    result.route = view.services->find_route(call.host, call.target);
    result.reason = refusal::unknown_route;
    if (result.route != nullptr)
        result.reason = check_account(view, call, result);
    if (result.reason != refusal::none)
    {
        // The newer configuration may have the route or the key.
        if (view.knows_newer)
            result.reason = refusal::no_configuration;
        return result;
    }
    auto const allowed =
        std::min(call.time_left.value_or(result.route->timeout), result.route->timeout);
    result.deadline = arrived + allowed;
    result.reason = refusal::too_late;
    if (result.deadline <= now)
        return result;
    check_quota(now, view, call, quotas, tolerance, result);
    result.service = choose_service(*result.route, call.id);
    return result;
}

std::size_t connection_limit(traffic_view const& view, admitted_call const& call)
{
    auto const* service = call.services->find_service(call.service);
    if (service == nullptr || service->max_connections == 0)
        return 0;
    auto const part = used_connection_part * service->max_connections / std::max(view.entries, 1U);
    return std::max<std::size_t>(2, static_cast<std::size_t>(part));
}

void admit_again(time_point now, traffic_view const& view, request::account_quota& quotas,
                 quota_tolerance const& tolerance, double lent, admitted_call& call)
{
    if (call.deadline <= now)
    {
        quotas.deposit(call.account->name, lent);
        call.reason = refusal::too_late;
        return;
    }
    auto const situation = quota_situation_of(view, *call.account, tolerance);
    set_decision(quotas.take_again(now, call.account->name, situation.limit, situation.peers,
                                   call.quota_tokens, lent),
                 call);
}

} // namespace lagoonladder::proxy
