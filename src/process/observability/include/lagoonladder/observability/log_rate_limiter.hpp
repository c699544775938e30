#ifndef LAGOONLADDER_OBSERVABILITY_LOG_RATE_LIMITER_HPP
#define LAGOONLADDER_OBSERVABILITY_LOG_RATE_LIMITER_HPP

#include <lagoonladder/base.hpp>

namespace lagoonladder::observability
{

/// Limits log lines of one kind to one per interval.
class log_rate_limiter
{
public:
    explicit log_rate_limiter(duration min_interval)
        : interval(min_interval)
    {
    }

    /// Returns whether a line may be written now; if so, starts a new interval.
    bool admit(time_point now)
    {
        if (now < this->next)
            return false;
        this->next = now + this->interval;
        return true;
    }

private:
    duration const interval;
    time_point next{};
};

} // namespace lagoonladder::observability

#endif
