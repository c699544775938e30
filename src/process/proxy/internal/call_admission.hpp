#ifndef LAGOONLADDER_PROXY_CALL_ADMISSION_HPP
#define LAGOONLADDER_PROXY_CALL_ADMISSION_HPP

#include <memory>
#include <optional>
#include <vector>

#include <lagoonladder/proxy/call.hpp>
#include <lagoonladder/proxy/call_proxy.hpp>
#include <lagoonladder/proxy/traffic_control.hpp>

#include "crash_tracker.hpp"

namespace lagoonladder::proxy
{

/// Why this entry answers a call itself instead of relaying an endpoint's response.
enum class refusal
{
    none,
    malformed,
    no_configuration,
    unknown_route,
    unknown_key,
    /// A part of the prompt has crashed engines that answered it.
    quarantined_prompt,
    over_quota,
    no_endpoint,
    /// Only cold endpoints are left, and this entry may not send them more now.
    cold_endpoints,
    overloaded,
    /// The engines have too little room for a call of this priority and account.
    no_capacity,
    /// The deadline passed before the call was sent to an endpoint.
    too_late,
    /// The endpoint sent no complete response.
    endpoint_failed,
    /// The deadline passed while an endpoint worked on the call.
    timed_out
};

char const* to_string(refusal reason);
/// Returns the text for the caller.
char const* describe(refusal reason);

/// Returns the HTTP status of the refusal. 429 and 503 state that the call was not executed.
unsigned status_of(refusal reason);

/// Result of the admission check of a call: its service and deadline when it may be sent to an
/// endpoint, otherwise the reason of its refusal.
struct call_admission
{
    refusal reason = refusal::none;
    duration retry_after{};
    /// Keeps `route` and `account` valid.
    std::shared_ptr<version::service_index const> services;
    /// Time for which `services` counts as current, for the log; zero when it does not.
    duration configuration_validity{};
    version::pass_through_route const* route = nullptr;
    /// Null for anonymous calls.
    version::pass_through_account const* account = nullptr;
    service_name service;
    time_point deadline{};
    /// Tokens that the call counts towards the quota.
    double quota_tokens = 0;
    /// The entries that share the quota, and their demand.
    request::peer_demand quota_demand;
    /// Tokens that this entry's portion lacks when the quota refuses the call.
    request::token_shortage shortage;
    /// Outcome of requesting the missing tokens from other entries, for the log and the metrics.
    char const* lending = "not_asked";
    /// Set when the admission under overload counted the call as served.
    std::optional<request::counted_call> counted;
    /// Why the engines have too little room, for the log.
    std::vector<event_field> capacity_detail;
};

/// Inputs that determine this entry's portion of an account's quota.
struct quota_inputs
{
    request::account_limit limit;
    request::peer_demand peers;
};

/// Requires that the account has a quota.
quota_inputs make_quota_inputs(traffic_view const& view,
                               version::pass_through_account const& account,
                               quota_tolerance const& tolerance);

/// First step of admit(): finds the route, the account and the deadline. Takes nothing.
call_admission resolve_call(time_point now, time_point arrived, traffic_view const& view,
                            incoming_call const& call);

/// Last step of admit(): takes the tokens of the call from this entry's portion of its account's
/// quota, if the account has one.
void take_quota_tokens(time_point now, traffic_view const& view, incoming_call const& call,
                       request::account_quota& quotas, quota_tolerance const& tolerance,
                       call_admission& result);

/// Returns the service of the route's split that gets the call.
service_name choose_service(version::pass_through_route const& route, request_id const& call);

/// Decides whether a call is admitted and which service gets it. The tokens of an admitted call are
/// taken from this entry's portion of its account's quota.
call_admission admit(time_point now, time_point arrived, traffic_view const& view,
                     incoming_call const& call, crash_tracker& crashes,
                     request::account_quota& quotas, quota_tolerance const& tolerance);

/// Decides again on a call that its quota refused, with `lent_tokens` from other entries. Tokens
/// that come after the call's deadline are added to this entry's portion of the quota.
void admit_again(time_point now, traffic_view const& view, request::account_quota& quotas,
                 quota_tolerance const& tolerance, double lent_tokens, call_admission& admission);

/// Returns how many connections this entry may have open to one endpoint of the call's service;
/// 0 means no limit.
std::size_t connection_limit(traffic_view const& view, call_admission const& admission);

} // namespace lagoonladder::proxy

#endif
