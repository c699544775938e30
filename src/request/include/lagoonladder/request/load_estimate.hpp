#ifndef LAGOONLADDER_REQUEST_LOAD_ESTIMATE_HPP
#define LAGOONLADDER_REQUEST_LOAD_ESTIMATE_HPP

#include <cstdint>
#include <deque>
#include <map>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

struct load_estimate_options
{
    /// Assumed time between the endpoint's measurement and the report's arrival.
    duration report_lag = milliseconds(500);
    /// Age at which the other entries' part of a report has lost 63% of its weight.
    duration decay = seconds(5);
    /// State of an endpoint without own requests and reports for this long is dropped.
    duration forget_after = std::chrono::minutes(1);
};

/// Estimates the load of endpoints whose reports are late: last report plus own
/// requests since it minus own completions since it. What other entries
/// contributed decays with the report's age towards their mean over all endpoints.
class load_estimate
{
public:
    explicit load_estimate(load_estimate_options options = {});

    /// A report arrived: requests running and waiting at the endpoint. `sequence`
    /// identifies the report; a sequence that is not newer is ignored.
    void report(time_point now, endpoint_id const& endpoint, std::uint64_t sequence,
                std::uint32_t running, std::uint32_t waiting);

    /// An own attempt was sent to the endpoint.
    void dispatched(time_point now, endpoint_id const& endpoint);

    /// An own attempt ended, whatever its result.
    void completed(time_point now, endpoint_id const& endpoint);

    /// Estimated requests running and waiting at the endpoint.
    double estimate(time_point now, endpoint_id const& endpoint) const;

    /// Own attempts in progress at the endpoint.
    std::uint32_t own(endpoint_id const& endpoint) const;

    /// Forgets an endpoint that left or restarted; a restarted one counts its reports anew.
    void remove(endpoint_id const& endpoint);

    /// Drops the state of endpoints that are no longer used.
    void expire(time_point now);

private:
    struct change
    {
        time_point when{};
        int delta = 0;
    };

    struct state
    {
        std::uint32_t own = 0;
        std::uint64_t sequence = 0;
        bool reported = false;
        time_point reported_at{};
        /// Part of the last report that is not own requests.
        double others = 0;
        time_point last_used{};
        /// Own changes within the report lag.
        std::deque<change> recent;
    };

    void remember(time_point now, state& known, int delta) const;
    static double own_at(state const& known, time_point when);
    void update_others(state& known, double others);
    void forget_others(state& known);

    load_estimate_options options;
    std::map<endpoint_id, state> endpoints;
    double others_total = 0;
    std::uint32_t reporting = 0;
};

} // namespace lagoonladder::request

#endif
