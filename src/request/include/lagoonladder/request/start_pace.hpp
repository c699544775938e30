#ifndef LAGOONLADDER_REQUEST_START_PACE_HPP
#define LAGOONLADDER_REQUEST_START_PACE_HPP

#include <cstdint>
#include <map>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

/// How an attempt ended at an endpoint.
enum class attempt_end
{
    /// With an answer, or for a reason that says nothing about the endpoint.
    neutral,
    /// The endpoint refused the request.
    refused,
    failed
};

/// Usual time from sending a request to the first byte of its answer at the established endpoints
/// of a service: a moving 80th percentile.
class usual_answer_time
{
public:
    void add(duration elapsed);
    /// Returns the time after which an answer is late; duration::max() while too little is known.
    duration limit() const;

private:
    double percentile_seconds = 0;
    std::uint32_t samples = 0;
};

/// Learns from their answers how many requests endpoints bear that have started or recovered. Such
/// an endpoint has a weight below 1, which grows while it answers as fast as the established
/// endpoints of its service. Not safe for concurrent calls.
class start_pace
{
public:
    /// The endpoint has started or recovered.
    void begin(time_point now, endpoint_id const& endpoint);

    /// This entry sends a request to the endpoint.
    void record_start(time_point now, endpoint_id const& endpoint);
    /// The first byte of the answer to a request that was sent at `started` has arrived.
    void record_answer(time_point now, service_name const& service, endpoint_id const& endpoint,
                       time_point started);
    /// The attempt that was sent at `started` is over.
    void record_end(time_point now, service_name const& service, endpoint_id const& endpoint,
                    time_point started, attempt_end end);

    /// Returns the part of its full share that the endpoint may get; 1 when it is established.
    double weight(time_point now, service_name const& service, endpoint_id const& endpoint);
    /// Returns the number of requests of this entry that are open at the endpoint.
    std::size_t open_requests(endpoint_id const& endpoint) const;
    /// Returns the number of endpoints that are not established.
    std::size_t starting_endpoints() const;
    /// Drops the state of endpoints that were not used for a time.
    void expire(time_point now);

private:
    struct unanswered_request
    {
        time_point started{};
        /// The request has counted as late.
        bool is_late = false;
    };

    struct endpoint_state
    {
        bool is_starting = false;
        double weight = 1;
        /// Time up to which the growth of `weight` is included.
        time_point grown_until{};
        /// The weight does not grow by time before.
        time_point held_until{};
        std::uint32_t setbacks = 0;
        std::size_t open = 0;
        /// Requests without a first byte that were sent since the start.
        std::vector<unanswered_request> unanswered;
    };

    /// Adds the growth since the last update and counts requests that have become late.
    static void update(time_point now, duration limit, endpoint_state& state);
    static void reduce(time_point now, endpoint_state& state);
    static void raise(time_point now, endpoint_state& state);
    void remove_if_unused(endpoint_id const& endpoint);

    std::map<endpoint_id, endpoint_state> endpoints;
    std::map<service_name, usual_answer_time> services;
};

} // namespace lagoonladder::request

#endif
