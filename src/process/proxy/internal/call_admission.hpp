#ifndef LAGOONLADDER_PROXY_CALL_ADMISSION_HPP
#define LAGOONLADDER_PROXY_CALL_ADMISSION_HPP

#include <memory>

#include <lagoonladder/proxy/call.hpp>
#include <lagoonladder/proxy/call_proxy.hpp>
#include <lagoonladder/proxy/traffic_control.hpp>

namespace lagoonladder::proxy
{

/// Why a call gets an answer of this entry's own.
enum class refusal
{
    none,
    malformed,
    no_configuration,
    unknown_route,
    unknown_key,
    over_quota,
    no_endpoint,
    overloaded,
    /// The time was over before the call was sent to an endpoint.
    too_late,
    /// The endpoint gave no complete answer.
    endpoint_failed,
    /// The time was over while an endpoint worked on the call.
    timed_out
};

char const* to_string(refusal reason);

/// HTTP status of the refusal. 429 and 503 state that the call has not run.
unsigned status_of(refusal reason);

/// A call that may be sent, or why not.
struct admitted_call
{
    refusal reason = refusal::none;
    duration retry_after{};
    /// Keeps `route` and `account` valid.
    std::shared_ptr<version::service_index const> services;
    version::pass_through_route const* route = nullptr;
    /// Null for anonymous calls.
    version::pass_through_account const* account = nullptr;
    service_name service;
    time_point deadline{};
    /// Tokens that the call counts towards the quota, and what this entry's part of it
    /// was decided by.
    double quota_tokens = 0;
    request::peer_demand quota_demand;
    /// Tokens that this entry's part lacks when the quota refuses the call.
    double missing_tokens = 0;
    /// What came of asking other entries for them.
    char const* lending = "not_asked";
};

/// What decides on this entry's part of an account's quota.
struct quota_situation
{
    request::account_limit limit;
    request::peer_demand peers;
};

quota_situation quota_situation_of(traffic_view const& view, version::pass_through_account const& account,
                                   quota_tolerance const& tolerance);

/// Decides whether a call is admitted and which service gets it.
admitted_call admit(time_point now, time_point arrived, traffic_view const& view,
                    incoming_call const& call, request::account_quota& quotas,
                    quota_tolerance const& tolerance);

/// Decides again on a call that was refused by its quota, with tokens that other entries lent.
void admit_again(time_point now, traffic_view const& view, request::account_quota& quotas,
                 quota_tolerance const& tolerance, double lent, admitted_call& call);

/// Connections that this entry may have open to one endpoint of the call's service; 0 is no limit.
std::size_t connection_limit(traffic_view const& view, admitted_call const& call);

} // namespace lagoonladder::proxy

#endif
