#include <lagoonladder/request/return_schedule.hpp>

#include <algorithm>

namespace lagoonladder::request
{

namespace
{

/// Callers honour a time to retry up to this fraction of the time they have left.
constexpr int max_wait_divisor = 3;
constexpr duration min_retry_after = milliseconds(20);
/// Least time over which the returns of calls are spread.
constexpr duration min_spread = milliseconds(200);
constexpr duration max_spread = seconds(5);
/// Priorities from this one on return in the last part of the spread.
constexpr std::uint32_t last_priority = 4;
/// Part of the spread by which the least urgent calls return later than the most urgent ones.
constexpr double priority_offset = 0.5;
/// Returns that are counted at most; a larger number cannot lengthen the spread.
constexpr std::size_t max_due = 4'096;

} // namespace

duration return_schedule::next(time_point now, std::uint32_t priority, return_bounds const& bounds,
                               random_source& random)
{
    this->due.erase(this->due.begin(), this->due.upper_bound(now));
    auto const max_wait = std::max<duration>(bounds.time_left / max_wait_divisor, duration(1));
    auto const pending = static_cast<double>(this->due.size() + 1);
    auto const needed =
        from_seconds(std::min(to_seconds(max_spread), pending / std::max(bounds.served_rate, 1.0)));
    // Half of the time remains for the spread, so that calls do not all return at the maximum.
    auto const start = std::clamp<duration>(bounds.min_wait, min_retry_after,
                                            std::max<duration>(min_retry_after, max_wait / 2));
    auto const spread = std::min(std::max<duration>(needed, min_spread),
                                 std::max<duration>(max_wait - start, duration(0)));
    auto const rank = static_cast<double>(std::min(priority, last_priority)) / last_priority;
    auto const position = priority_offset * rank + (1 - priority_offset) * random.unit();
    auto const wait = std::min(max_wait, start + from_seconds(to_seconds(spread) * position));
    if (this->due.size() < max_due)
        this->due.insert(now + wait);
    return wait;
}

} // namespace lagoonladder::request
