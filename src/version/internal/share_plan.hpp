#ifndef LAGOONLADDER_VERSION_SHARE_PLAN_HPP
#define LAGOONLADDER_VERSION_SHARE_PLAN_HPP

#include <vector>

#include <lagoonladder/version/move_controller.hpp>

namespace lagoonladder::version
{

/// Plan of the shares over time, computed backwards from `finish_by`: the watch time at full
/// share ends there, the steps lie before it, with slack for holds in between.
class share_plan
{
public:
    share_plan(move_record const& record, service_config const& service,
               move_settings const& initial_settings);

    /// Watch time at full share, at most half of the time of the move.
    duration watch() const { return this->watch_time; }

    /// Time by which the full share has to be reached.
    wall_time full_by() const { return this->full_share_deadline; }

    /// Returns the share of the first step. `busiest_route_rate` is in requests per second.
    double initial_share(double busiest_route_rate) const;

    /// Returns the share after the next step from `current_share`, which may be 0.
    double next_share(double first_share, double current_share) const;

    /// Whether a step from `current_share` is due at `now`. `hold_time` is the time spent on holds
    /// so far, `last_step` the time of the last step.
    bool is_step_due(wall_time now, duration hold_time, wall_time last_step, double first_share,
                     double current_share) const;

    /// Whether there is no time left for a longer hold.
    bool is_slack_used(wall_time now, double first_share, double current_share) const;

private:
    /// Minimum time to stay on the current share.
    duration min_step_time(wall_time now, int remaining_steps) const;

    move_settings settings;
    wall_time ramp_begin;
    duration watch_time{};
    wall_time full_share_deadline;
    /// Planned time on each share.
    duration step_time{};
};

} // namespace lagoonladder::version

#endif
