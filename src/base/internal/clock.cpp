#include <lagoonladder/base/clock.hpp>

#include <time.h>

#include <algorithm>

#include <lagoonladder/base/invariant.hpp>

namespace lagoonladder
{

time_point system_clock::now() const
{
    // Unlike the steady clock, this one counts the time for which the machine was suspended: leases
    // and confirmations must not last longer by it.
    timespec since_boot{};
    invariant(::clock_gettime(CLOCK_BOOTTIME, &since_boot) == 0, "the clock cannot be read");
    return time_point(std::chrono::duration_cast<duration>(
        seconds(since_boot.tv_sec) + std::chrono::nanoseconds(since_boot.tv_nsec)));
}

wall_time system_clock::wall_now() const
{
    return wall_time(
        std::chrono::duration_cast<duration>(std::chrono::system_clock::now().time_since_epoch()));
}

hybrid_timestamp hybrid_clock::tick(wall_time wall_now)
{
    std::lock_guard const lock(this->mutex);
    if (wall_now > this->latest_timestamp.wall)
        this->latest_timestamp = {wall_now, 0};
    else
        ++this->latest_timestamp.counter;
    return this->latest_timestamp;
}

hybrid_timestamp hybrid_clock::merge(wall_time wall_now, hybrid_timestamp received)
{
    {
        std::lock_guard const lock(this->mutex);
        if (received.wall <= wall_now + max_drift)
            this->latest_timestamp = std::max(this->latest_timestamp, received);
    }
    return this->tick(wall_now);
}

} // namespace lagoonladder
