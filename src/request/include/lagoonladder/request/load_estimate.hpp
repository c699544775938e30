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
    /// Assumed time between the measurement at the endpoint and the arrival of its report.
    duration report_lag = milliseconds(500);
    /// Time constant of the weight of a report: after this time, the other entries' part of the
    /// load has lost 63% of its weight.
    duration decay = seconds(5);
    /// Time without own requests and reports after which the state of an endpoint is dropped.
    duration max_idle = std::chrono::minutes(1);
};

/// Estimates the load of endpoints whose reports arrive late: the last report, plus the requests
/// that this entry sent since the report was measured, minus those that ended since. The part of
/// the load that other entries caused decays with the age of the report towards its mean over all
/// endpoints.
class load_estimate
{
public:
    explicit load_estimate(load_estimate_options options = {});

    /// A report arrived with the number of requests that run and wait at the endpoint. `sequence`
    /// identifies the report; a report that is not newer than the last one is ignored.
    void report(time_point now, endpoint_id const& endpoint, std::uint64_t sequence,
                std::uint32_t running, std::uint32_t waiting);

    /// This entry sent an attempt to the endpoint.
    void dispatched(time_point now, endpoint_id const& endpoint);

    /// An attempt of this entry ended, whatever its result.
    void completed(time_point now, endpoint_id const& endpoint);

    /// Returns the estimated number of requests that run and wait at the endpoint.
    double estimate(time_point now, endpoint_id const& endpoint) const;

    /// Whether the estimate is based on a report of the endpoint.
    bool has_report(endpoint_id const& endpoint) const
    {
        auto const found = this->endpoints.find(endpoint);
        return found != this->endpoints.end() && found->second.reported;
    }

    /// Returns the number of attempts of this entry that are in progress at the endpoint.
    std::uint32_t own_attempts(endpoint_id const& endpoint) const;

    /// Removes an endpoint that left or restarted; the report sequence of a restarted endpoint
    /// begins anew.
    void remove(endpoint_id const& endpoint);

    /// Drops the state of endpoints that are no longer used.
    void expire(time_point now);

private:
    struct change
    {
        time_point changed_at{};
        int delta = 0;
    };

    struct endpoint_state
    {
        /// Number of attempts of this entry that are in progress.
        std::uint32_t own = 0;
        std::uint64_t sequence = 0;
        bool reported = false;
        time_point reported_at{};
        /// Part of the last report that this entry did not cause.
        double others = 0;
        time_point last_used{};
        /// Changes of `own` within the report lag.
        std::deque<change> recent_changes;
    };

    void record_change(time_point now, endpoint_state& state, int delta) const;
    static double own_at(endpoint_state const& state, time_point time);
    void update_others(endpoint_state& state, double others);
    void remove_others(endpoint_state& state);

    load_estimate_options options;
    std::map<endpoint_id, endpoint_state> endpoints;
    /// Sum of `others` over the endpoints with a report, and their number.
    double others_total = 0;
    std::uint32_t reporting_count = 0;
};

} // namespace lagoonladder::request

#endif
