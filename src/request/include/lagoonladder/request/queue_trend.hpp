#ifndef LAGOONLADDER_REQUEST_QUEUE_TREND_HPP
#define LAGOONLADDER_REQUEST_QUEUE_TREND_HPP

#include <cstddef>
#include <optional>

#include <lagoonladder/base.hpp>

namespace lagoonladder::request
{

struct queue_trend_options
{
    /// Time for which age and predicted wait have to rise before the rise is reported.
    duration rise_time = std::chrono::minutes(2);
    /// Time constants of the two averages whose difference shows the rise.
    duration fast = seconds(30);
    duration slow = std::chrono::minutes(5);
};

/// State of a queue when its trend changed.
struct queue_trend
{
    bool rising = false;
    duration oldest_age{};
    duration predicted_wait{};
    std::size_t length = 0;
};

/// Detects a queue that grows slowly over hours: the age of the oldest request and the predicted
/// wait both stay above their slow averages.
class trend_detector
{
public:
    explicit trend_detector(queue_trend_options options = {});

    /// To be called about once per second. Returns a value once when the rise has lasted for
    /// rise_time, and once when it has ended.
    std::optional<queue_trend> observe(time_point now, duration oldest_age, duration predicted_wait,
                                       std::size_t length);

    bool is_rising() const { return this->reported; }

private:
    /// Moving averages of one quantity, in seconds.
    struct averages
    {
        double fast = 0;
        double slow = 0;
    };

    /// Adds a sample that was taken `elapsed` seconds after the previous one.
    void update(averages& value, double sample, double elapsed) const;
    static bool is_above_slow(averages const& value);
    static bool is_at_or_below_slow(averages const& value);

    queue_trend_options options;
    averages age;
    averages wait;
    std::optional<time_point> last_observed;
    std::optional<time_point> rising_since;
    bool reported = false;
};

} // namespace lagoonladder::request

#endif
