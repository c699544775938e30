#ifndef LAGOONLADDER_REQUEST_SERVICE_RATE_HPP
#define LAGOONLADDER_REQUEST_SERVICE_RATE_HPP

#include <optional>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

/// Measures the work per second that a queue hands out while requests wait. The
/// work taken without waiting is a lower bound of it.
class service_rate
{
public:
    /// `initial` is used until something was measured. `window` is the time constant.
    service_rate(double initial, duration window);

    /// Moves on to `now`. `waiting_since` is the arrival of the oldest request that waited
    /// since the last call, if any.
    void advance(time_point now, std::optional<time_point> waiting_since);

    /// Work was taken at the time of the last advance; `waited` is how long the oldest request
    /// had waited.
    void taken(double work, duration waited);

    /// Always positive.
    double value() const;

    /// Waits shorter than this come from the hand-over and not from a lack of slots.
    static constexpr duration min_wait = milliseconds(20);

private:
    double window;
    double floor;
    /// Last value measured over at least one second of waiting.
    double known;
    double waited_work = 0;
    double waited_time = 0;
    double all_work = 0;
    std::optional<time_point> last;
};

} // namespace lagoonladder::request

#endif
