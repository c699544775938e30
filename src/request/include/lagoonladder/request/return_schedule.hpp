#ifndef LAGOONLADDER_REQUEST_RETURN_SCHEDULE_HPP
#define LAGOONLADDER_REQUEST_RETURN_SCHEDULE_HPP

#include <cstdint>
#include <set>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

/// Bounds of the time after which a refused call may come back.
struct return_bounds
{
    /// Expected time until calls are served again.
    duration min_wait{};
    /// Time until the caller's deadline.
    duration time_left{};
    /// Calls that are served per second.
    double served_rate = 0;
};

/// Chooses when refused calls may come back, so that they return spread over the time that is
/// needed to serve them, the urgent ones first. Not safe for concurrent calls.
class return_schedule
{
public:
    /// Returns the time after which the call may be retried and counts it as due then. Priority 0
    /// is the most urgent.
    duration next(time_point now, std::uint32_t priority, return_bounds const& bounds,
                  random_source& random);

private:
    /// Times at which refused calls are due to return.
    std::multiset<time_point> due;
};

} // namespace lagoonladder::request

#endif
