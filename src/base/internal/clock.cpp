#include <lagoonladder/base/clock.hpp>

#include <algorithm>

namespace lagoonladder
{

time_point system_clock::now() const
{
    return time_point(
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
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
