#include "share_plan.hpp"

#include <algorithm>
#include <cmath>

namespace lagoonladder::version
{

namespace
{

// The tests have the most statistical power at a share of one half. Above it the old version
// gets too little traffic to compare, so the last step goes from one half to the full share.
constexpr double half_share = 0.5;
constexpr int steps_to_half = 5;
constexpr int step_count = steps_to_half + 1;
// Fraction of the time before the full share that the steps take. The rest is slack for holds.
constexpr double ramp_fraction = 0.9;

double share_of_step(int step, double first_share)
{
    if (step >= step_count)
        return 1;
    auto const exponent = static_cast<double>(step - 1) / (steps_to_half - 1);
    return std::min(half_share, first_share * std::pow(half_share / first_share, exponent));
}

/// Returns the number of the last step that `current_share` has reached, 0 before the first one.
int current_step(double first_share, double current_share)
{
    int step = 0;
    while (step < step_count && share_of_step(step + 1, first_share) <= current_share + 1e-9)
        ++step;
    // A share below the first step of this leader was set by an earlier leader.
    return step == 0 && current_share > 0 ? 1 : step;
}

} // namespace

share_plan::share_plan(move_record const& record, service_config const& service,
                       move_settings const& initial_settings)
    : settings(initial_settings)
    , ramp_begin(record.started + initial_settings.observation_time)
{
    auto const total_time = record.finish_by - record.started;
    this->watch_time = std::min(service.watch, total_time / 2);
    this->full_share_deadline =
        record.finish_by - initial_settings.commit_margin - this->watch_time;
    auto const ramp = std::max(this->full_share_deadline - this->ramp_begin, duration(step_count));
    this->step_time = from_seconds(to_seconds(ramp) * ramp_fraction / (step_count - 1));
}

double share_plan::initial_share(double busiest_route_rate) const
{
    auto const expected_requests = std::max(busiest_route_rate * to_seconds(this->step_time), 1e-9);
    return std::clamp(this->settings.first_step_requests / expected_requests,
                      this->settings.min_first_share, this->settings.max_first_share);
}

double share_plan::next_share(double first_share, double current_share) const
{
    return share_of_step(current_step(first_share, current_share) + 1, first_share);
}

bool share_plan::is_step_due(wall_time now, duration hold_time, wall_time last_step,
                             double first_share, double current_share) const
{
    auto const elapsed = now - this->ramp_begin - hold_time;
    if (elapsed < duration(0) || current_share >= 1)
        return false;
    auto const reached_step = current_step(first_share, current_share);
    auto const planned_step = 1 + elapsed / this->step_time;
    if (reached_step == 0)
        return true;
    // A leader that takes over late is behind the plan, but still stays for some time on each
    // share.
    return planned_step > reached_step &&
           now - last_step >= this->min_step_time(now, step_count - reached_step);
}

bool share_plan::is_slack_used(wall_time now, double first_share, double current_share) const
{
    auto const remaining_steps = step_count - current_step(first_share, current_share);
    return this->full_share_deadline - now < remaining_steps * this->step_time / 2;
}

duration share_plan::min_step_time(wall_time now, int remaining_steps) const
{
    auto const remaining_time = std::max(this->full_share_deadline - now, duration(0));
    return std::min(this->step_time, remaining_time / std::max(remaining_steps, 1));
}

} // namespace lagoonladder::version
