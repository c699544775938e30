#ifndef LAGOONLADDER_REQUEST_OVERLOAD_ADMISSION_HPP
#define LAGOONLADDER_REQUEST_OVERLOAD_ADMISSION_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include <lagoonladder/base.hpp>
#include <lagoonladder/base/region.hpp>
#include <lagoonladder/request/call_shares.hpp>
#include <lagoonladder/request/return_schedule.hpp>

namespace lagoonladder::request
{

/// Home regions of a call, to whose engines it is sent; no value for all regions.
using call_regions = std::optional<std::set<region_id>>;

/// Load of the engines of a service that calls may be sent to, all together.
struct service_load
{
    double slots = 0;
    /// Requests that run.
    double running = 0;
    /// Requests that wait at the engines.
    double waiting = 0;
    /// Time that a call which is sent now waits until an engine begins to process its prompt.
    duration wait{};
};

/// A call of a model service, and what is predicted for it.
struct overload_query
{
    /// Empty for anonymous calls.
    account_id account;
    route_name route;
    call_regions regions;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    duration latency_objective{};
    duration time_left{};
    service_load load;
    /// Earliest time to the first event of the response at any engine.
    duration first_event{};
};

enum class overload_outcome
{
    /// Sent to an engine that begins with it at once.
    sent,
    /// Sent to an engine at which it waits first.
    sent_to_wait,
    /// Refused: the first event would come after the caller's deadline.
    past_deadline,
    /// Refused: the wait exceeds what the call's priority and its account's share allow.
    wait_too_long,
    /// Refused: a more urgent kind of call has been served less often.
    less_urgent
};

char const* to_string(overload_outcome outcome);

struct overload_decision
{
    overload_outcome outcome = overload_outcome::sent;
    /// Longest wait at which the call is sent; zero when the wait did not matter.
    duration wait_limit{};
    /// When refused.
    duration retry_after{};

    bool is_refused() const { return this->outcome > overload_outcome::sent_to_wait; }
};

/// A call that counts as served since it was decided to be sent.
struct counted_call
{
    time_point decided{};
    account_id account;
    std::uint32_t priority = 0;
    call_regions regions;
};

/// Decides whether a call of a model service is sent, to be answered at once or to wait at an
/// engine, or refused while the engines have too little room. All entries decide by the load of the
/// same engines, so that they agree without messages on what is refused. One object for each
/// service. Not safe for concurrent calls.
class overload_admission
{
public:
    overload_decision decide(time_point now, overload_query const& query, random_source& random);

    /// Takes back a call that was decided to be sent and is refused for a reason that has nothing
    /// to do with the engines, such as its quota. It counts neither as served nor as refused.
    void withdraw(time_point now, counted_call const& call);

    /// Records that a call that was decided to be sent has not been served: an endpoint refused it
    /// or it failed. It counts as refused from now on, since its own weight may have decayed.
    void record_failure(time_point now, counted_call const& call);

    /// Returns the time after which the caller of a call that is refused for another reason may
    /// retry, at least `min_wait`.
    duration retry_after(time_point now, call_regions const& regions, std::uint32_t priority,
                         duration min_wait, duration time_left, random_source& random);

private:
    struct call_kind
    {
        duration latency_objective{};
        time_point last_seen{};
    };

    /// Calls that compete for the same engines. An account or kind is compared with others within
    /// its group: engines elsewhere cannot serve it, whatever room they have.
    struct region_group
    {
        call_shares shares;
        return_schedule returns;
    };

    overload_outcome judge(time_point now, overload_query const& query, call_shares const& shares,
                           duration limit, random_source& random) const;
    /// Returns the wait of the call, which overtakes less urgent ones at the engines.
    static duration wait_of(time_point now, overload_query const& query, call_shares const& shares);
    /// Returns the longest wait at which a call of this priority and account is sent.
    duration wait_limit(time_point now, overload_query const& query,
                        call_shares const& shares) const;
    /// Returns the tightest latency objective of the kinds that are as urgent as the call or more.
    duration tightest_objective(overload_query const& query) const;
    void record_kind(time_point now, overload_query const& query);

    /// As many as the configuration combines regions of routes and accounts.
    std::map<call_regions, region_group> groups;
    /// By priority and route, since an account's own priority replaces that of the route.
    std::map<std::pair<std::uint32_t, route_name>, call_kind> kinds;
};

} // namespace lagoonladder::request

#endif
