#ifndef LAGOONLADDER_OBSERVABILITY_LINE_LIMIT_HPP
#define LAGOONLADDER_OBSERVABILITY_LINE_LIMIT_HPP

#include <lagoonladder/base.hpp>

namespace lagoonladder::observability
{

/// Bounds how often one kind of log line is written.
class line_limit
{
public:
    explicit line_limit(duration least_interval)
        : interval(least_interval)
    {
    }

    /// Whether a line may be written now; if so, the interval begins anew.
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
