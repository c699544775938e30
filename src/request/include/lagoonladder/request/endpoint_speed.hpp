#ifndef LAGOONLADDER_REQUEST_ENDPOINT_SPEED_HPP
#define LAGOONLADDER_REQUEST_ENDPOINT_SPEED_HPP

#include <map>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

struct endpoint_speed_options
{
    /// Time constant of the weight of the last stated time against the mean of the stated times.
    /// Other work on a machine changes its speed several times a second.
    duration statement_decay = milliseconds(500);
    /// Weight of a new statement in the mean of an endpoint.
    double statement_weight = 0.1;
    /// Bounds of a stated time.
    double min_time = 0.1;
    double max_time = 20;
    /// Time without statements after which the state of an endpoint is dropped.
    duration max_idle = std::chrono::minutes(5);
};

/// Estimates by how much an endpoint is faster or slower now than it usually is, from the times
/// that it states in its responses. The last statement counts fully while it is new and approaches
/// the mean of the endpoint's statements as it ages. The permanent speed of an endpoint is not part
/// of the estimate, whether its statements contain it or not; it is measured from responses. Not
/// safe for concurrent calls.
class endpoint_speed
{
public:
    explicit endpoint_speed(endpoint_speed_options initial = {});

    /// The endpoint stated at `when` how long work takes there; 1 is as usual. A statement that is
    /// older than the last one is ignored.
    void stated(time_point when, endpoint_id const& endpoint, double relative_time);

    /// Returns the mean time of work in a period of this length that begins or ends now, as a
    /// multiple of the endpoint's mean; 1 when the endpoint has stated none.
    double deviation(time_point now, endpoint_id const& endpoint, duration elapsed = {}) const;

    /// Whether the endpoint has stated a time within max_idle.
    bool has_stated(endpoint_id const& endpoint) const
    {
        return this->endpoints.contains(endpoint);
    }

    /// Drops the state of endpoints that have not stated a time for long.
    void expire(time_point now);
    std::size_t size() const { return this->endpoints.size(); }

private:
    struct endpoint_state
    {
        double mean = 1;
        double last = 1;
        time_point last_at{};
    };

    endpoint_speed_options options;
    std::map<endpoint_id, endpoint_state> endpoints;
};

} // namespace lagoonladder::request

#endif
