#ifndef LAGOONLADDER_BASE_CLOCK_HPP
#define LAGOONLADDER_BASE_CLOCK_HPP

#include <compare>
#include <cstdint>
#include <mutex>

#include <lagoonladder/base/units.hpp>

namespace lagoonladder
{

/// Source of time. The libraries that make decisions never read a clock: they receive the
/// current time as an argument, so that tests control it.
class clock
{
public:
    virtual ~clock() = default;
    /// Never goes back, and includes the time for which the machine was suspended.
    virtual time_point now() const = 0;
    virtual wall_time wall_now() const = 0;
};

class system_clock : public clock
{
public:
    time_point now() const override;
    wall_time wall_now() const override;
};

/// Clock for tests, which set its time.
class manual_clock : public clock
{
public:
    time_point now() const override { return this->monotonic; }
    wall_time wall_now() const override { return this->wall; }

    void advance(duration span)
    {
        this->monotonic += span;
        this->wall += span;
    }

    time_point monotonic{};
    wall_time wall{};
};

/// Time stamp of a hybrid logical clock: wall time plus a counter that keeps
/// causally related events of several processes in order.
struct hybrid_timestamp
{
    wall_time wall{};
    std::uint32_t counter = 0;

    friend auto operator<=>(hybrid_timestamp const&, hybrid_timestamp const&) = default;
};

/// Hybrid logical clock. Safe to call from several threads.
class hybrid_clock
{
public:
    /// Returns the time stamp for a local event or a message to be sent.
    hybrid_timestamp tick(wall_time wall_now);

    /// Advances the clock by the time stamp of a received message. A stamp that is ahead of
    /// the local wall time by more than max_drift is ignored, so that one
    /// machine with a wrong clock does not advance all others.
    hybrid_timestamp merge(wall_time wall_now, hybrid_timestamp received);

    static constexpr duration max_drift = std::chrono::minutes(1);

private:
    std::mutex mutex;
    hybrid_timestamp latest_timestamp;
};

} // namespace lagoonladder

#endif
