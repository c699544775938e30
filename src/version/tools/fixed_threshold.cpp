#include "fixed_threshold.hpp"

#include <algorithm>
#include <cmath>

namespace lagoonladder::version::study
{

std::optional<update_move> fixed_threshold::step(wall_time now, move_record const& record,
                                                 service_config const& service,
                                                 std::vector<traffic_sample> const& samples)
{
    this->window.push_back(samples);
    if (this->window.size() > 60)
        this->window.pop_front();
    update_move change{
        record.service, record.generation, record.share, move_state::running, "", {}};
    if (this->is_bad(record))
    {
        change.state = move_state::reversed;
        return change;
    }
    auto const total_time = record.finish_by - record.started;
    auto const watch = std::min(service.watch, total_time / 2);
    auto const ramp = total_time - watch - seconds(3);
    bool const is_watch_over = record.full_since && now - *record.full_since >= watch;
    if (is_watch_over || now >= record.finish_by - seconds(3))
    {
        change.state = move_state::finished;
        return change;
    }
    auto const step = static_cast<int>(6 * (now - record.started) / ramp);
    change.share = std::min(1.0, 0.05 * std::pow(2.0, step));
    if (step >= 5)
        change.share = 1;
    if (change.share <= record.share)
        return std::nullopt;
    return change;
}

fixed_threshold::totals fixed_threshold::sum(version_name const& version) const
{
    totals result;
    for (auto const& interval : this->window)
    {
        for (auto const& sample : interval)
        {
            if (sample.version != version)
                continue;
            result.requests += sample.requests;
            result.failures += sample.failures;
            result.whole_call.add(sample.whole_call);
        }
    }
    return result;
}

bool fixed_threshold::is_bad(move_record const& record) const
{
    auto const candidate = this->sum(record.to);
    auto const stable = this->sum(record.from);
    if (candidate.requests < 20)
        return false;
    if (candidate.failures > 0.05 * candidate.requests)
        return true;
    return stable.requests >= 20 &&
           candidate.whole_call.quantile(0.95) > 2 * stable.whole_call.quantile(0.95);
}

} // namespace lagoonladder::version::study
