#ifndef LAGOONLADDER_REQUEST_SERVICE_RATE_HPP
#define LAGOONLADDER_REQUEST_SERVICE_RATE_HPP

#include <optional>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

/// Measures the work per second that is taken from a queue while requests wait. The work that is
/// taken without waiting gives a lower bound of the rate.
class service_rate
{
public:
    /// `initial` is the rate until one was measured. `window` is the time constant.
    service_rate(double initial, duration window);

    /// Advances the measurement to `now`. `waiting_since` is the arrival of the oldest request that
    /// waited since the last call, if any.
    void advance(time_point now, std::optional<time_point> waiting_since);

    /// Records that work was taken at the time of the last advance. `waited` is the time for which
    /// the oldest request had waited.
    void taken(double work, duration waited);

    /// Returns the rate in work per second; always positive.
    double value() const;

    /// Shorter waits are caused by the hand-over of a request and not by a lack of slots.
    static constexpr duration min_wait = milliseconds(20);

private:
    /// Time constant in seconds.
    double window;
    double min_rate;
    /// Last rate that was measured over at least one second of waiting.
    double last_measured;
    /// Decaying sums: work that was taken while requests waited, seconds of waiting, and all work
    /// that was taken.
    double waiting_work = 0;
    double waiting_time = 0;
    double taken_work = 0;
    std::optional<time_point> last_advance;
};

} // namespace lagoonladder::request

#endif
