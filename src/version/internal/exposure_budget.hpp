#ifndef LAGOONLADDER_VERSION_EXPOSURE_BUDGET_HPP
#define LAGOONLADDER_VERSION_EXPOSURE_BUDGET_HPP

#include <lagoonladder/version/move_controller.hpp>

namespace lagoonladder::version
{

/// Requests of a service that were sent since the start of a move.
struct sent_requests
{
    double candidate = 0;
    double total = 0;
};

/// Number of requests that a new version may get before it is known to be as good as the old one.
class exposure_budget
{
public:
    explicit exposure_budget(exposure_limit const& initial_limit)
        : limit(initial_limit)
    {
    }

    /// Returns the number of requests that the new version may have got by now.
    double limit_so_far(sent_requests const& sent) const;

    /// Returns the largest share, 0 to 1, that the new version can have for `remaining_time`
    /// without using more than `fraction` of its budget. `requests_per_second` is the expected
    /// rate of the service.
    double max_share(sent_requests const& sent, double requests_per_second, duration remaining_time,
                     double fraction) const;

private:
    exposure_limit limit;
};

} // namespace lagoonladder::version

#endif
