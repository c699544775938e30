#ifndef LAGOONLADDER_DAEMON_PAUSE_DETECTOR_HPP
#define LAGOONLADDER_DAEMON_PAUSE_DETECTOR_HPP

#include <optional>

#include <lagoonladder/base.hpp>

namespace lagoonladder::daemon
{

/// Detects that the process stood still, as when its VM is frozen, by the delay of a periodic
/// call. What is read after a pause may have been sent long before. Not thread-safe.
class pause_detector
{
public:
    /// Time without a periodic call that counts as a pause. Callers that wait for a second have
    /// not given up yet after a shorter one.
    static constexpr duration min_pause = milliseconds(800);
    /// Time after a pause in which requests may still arrive that were sent before its end.
    static constexpr duration late_arrival_time = seconds(1);

    explicit pause_detector(time_point now)
        : last_call(now)
    {
    }

    /// To be called several times per `min_pause`.
    void record_call(time_point now)
    {
        if (now - this->last_call >= min_pause)
            this->resumed_at = now;
        this->last_call = now;
    }

    /// Whether a pause has ended less than `late_arrival_time` ago. The periodic call may not have
    /// been made since.
    bool has_just_resumed(time_point now) const
    {
        return now - this->last_call >= min_pause ||
               (this->resumed_at && now - *this->resumed_at < late_arrival_time);
    }

private:
    time_point last_call;
    std::optional<time_point> resumed_at;
};

} // namespace lagoonladder::daemon

#endif
