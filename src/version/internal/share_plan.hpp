#ifndef LAGOONLADDER_VERSION_SHARE_PLAN_HPP
#define LAGOONLADDER_VERSION_SHARE_PLAN_HPP

#include <vector>

#include <lagoonladder/version/move_controller.hpp>

namespace lagoonladder::version
{

/// Shares over time, planned backwards from finish_by: the watch time lies before
/// it, the steps before the watch time, and slack for holds between them.
class share_plan
{
public:
    share_plan(move_record const& record, service_config const& service,
               move_settings const& settings);

    /// Watch time at full share; at most half of the whole move.
    duration watch() const { return this->watch_time; }

    /// When the full share has to be reached.
    wall_time full_by() const { return this->latest_full; }

    /// The first share for the requests per second of the busiest route.
    double first_share(double busiest_route) const;

    /// The share after the next step from `current`, which may be 0.
    double next_share(double first, double current) const;

    /// Whether a step from `current` is due at `now`, when `held` was spent on holds
    /// and the last step was made at `last_step`.
    bool is_step_due(wall_time now, duration held, wall_time last_step, double first,
                     double current) const;

    /// Whether there is no slack left for a longer hold.
    bool is_slack_used(wall_time now, double first, double current) const;

private:
    duration least_step_time(wall_time now, int missing) const;

    move_settings settings;
    wall_time begin;
    duration watch_time{};
    wall_time latest_full;
    duration step{};
};

} // namespace lagoonladder::version

#endif
