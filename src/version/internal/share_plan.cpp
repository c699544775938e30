#include "share_plan.hpp"

#include <algorithm>
#include <cmath>

namespace lagoonladder::version
{

namespace
{

// The power to compare both versions is largest at one half, and above it the old
// version's traffic gets too thin, so the last step goes from one half to all.
constexpr double half = 0.5;
constexpr int steps_to_half = 5;
constexpr int all_steps = steps_to_half + 1;
// Part of the time before full share that the steps take; the rest is slack for holds.
constexpr double used_part = 0.9;

double share_of_step(int step, double first)
{
    if (step >= all_steps)
        return 1;
    auto const exponent = static_cast<double>(step - 1) / (steps_to_half - 1);
    return std::min(half, first * std::pow(half / first, exponent));
}

int step_reached(double first, double current)
{
    int step = 0;
    while (step < all_steps && share_of_step(step + 1, first) <= current + 1e-9)
        ++step;
    // A share below this leader's first step was set by an earlier leader.
    return step == 0 && current > 0 ? 1 : step;
}

} // namespace

share_plan::share_plan(move_record const& record, service_config const& service,
                       move_settings const& limits)
    : settings(limits)
    , begin(record.started + limits.observation_time)
{
    auto const whole = record.finish_by - record.started;
    this->watch_time = std::min(service.watch, whole / 2);
    this->latest_full = record.finish_by - limits.commit_margin - this->watch_time;
    auto const ramp = std::max(this->latest_full - this->begin, duration(all_steps));
    this->step = from_seconds(to_seconds(ramp) * used_part / (all_steps - 1));
}

double share_plan::first_share(double busiest_route) const
{
    auto const expected = std::max(busiest_route * to_seconds(this->step), 1e-9);
    return std::clamp(this->settings.first_step_requests / expected, this->settings.min_first_share,
                      this->settings.max_first_share);
}

double share_plan::next_share(double first, double current) const
{
    return share_of_step(step_reached(first, current) + 1, first);
}

bool share_plan::is_step_due(wall_time now, duration held, wall_time last_step, double first,
                             double current) const
{
    auto const elapsed = now - this->begin - held;
    if (elapsed < duration(0) || current >= 1)
        return false;
    auto const reached = step_reached(first, current);
    auto const planned = 1 + elapsed / this->step;
    if (reached == 0)
        return true;
    // A leader that comes late is behind the plan, but still stays a while on each share.
    return planned > reached && now - last_step >= this->least_step_time(now, all_steps - reached);
}

bool share_plan::is_slack_used(wall_time now, double first, double current) const
{
    auto const missing = all_steps - step_reached(first, current);
    return this->latest_full - now < missing * this->step / 2;
}

duration share_plan::least_step_time(wall_time now, int missing) const
{
    auto const left = std::max(this->latest_full - now, duration(0));
    return std::min(this->step, left / std::max(missing, 1));
}

} // namespace lagoonladder::version
