#include <lagoonladder/version/move_controller.hpp>

#include "share_plan.hpp"
#include "verdict.hpp"

namespace lagoonladder::version
{

/// State of the controller for one move.
class move_controller::implementation
{
public:
    implementation(wall_time now, move_record const& record, service_config const& service,
                   move_settings const& initial_settings)
        : settings(initial_settings)
        , generation(record.generation)
        , moved_service(record.service)
        , on_undecided(service.on_undecided)
        , plan(record, service, initial_settings)
        , version_verdict(record, initial_settings)
        , start_time(now)
        , previous_time(now)
        , last_step(now)
        , last_report(now)
    {
    }

    bool belongs_to(move_record const& record) const
    {
        return record.service == this->moved_service && record.generation == this->generation;
    }

    std::optional<update_move> step(wall_time now, move_record const& record,
                                    std::vector<traffic_sample> const& samples)
    {
        this->version_verdict.add(samples, record.share);
        auto change = this->decide(now, record);
        this->previous_time = now;
        return change;
    }

private:
    std::optional<update_move> decide(wall_time now, move_record const& record)
    {
        if (this->version_verdict.is_worse())
            return this->make_update(record, 0, move_state::reversed,
                                     this->version_verdict.describe());
        bool const watch_is_over =
            record.full_since && now - *record.full_since >= this->plan.watch();
        if (watch_is_over && this->version_verdict.has_enough_requests() &&
            !this->version_verdict.is_suspect())
            return this->conclude(record);
        if (now >= record.finish_by - this->settings.commit_margin)
            return this->conclude(record);
        if (this->should_advance(now, record))
        {
            this->last_step = now;
            return this->report(now, record,
                                this->plan.next_share(this->first_share, record.share));
        }
        if (now - this->last_report >= this->settings.report_interval)
            return this->report(now, record, record.share);
        return std::nullopt;
    }

    /// Whether the share is to be raised now. Also counts the time spent on holds.
    bool should_advance(wall_time now, move_record const& record)
    {
        if (record.share >= 1 || now - this->start_time < this->settings.observation_time)
            return false;
        // All later shares follow from the first one, so it stays the same after the first step
        // even if the request rate changes.
        if (record.share <= 0 || this->first_share <= 0)
            this->first_share =
                this->plan.initial_share(this->version_verdict.busiest_route_rate());
        if (!this->plan.is_step_due(now, this->hold_time, this->last_step, this->first_share,
                                    record.share))
            return false;
        bool const has_evidence_to_hold =
            this->version_verdict.is_suspect() &&
            !this->plan.is_slack_used(now, this->first_share, record.share);
        // More traffic to a version whose calls do not end would add no new evidence.
        bool const should_hold =
            has_evidence_to_hold || this->version_verdict.has_backlog(record.share);
        if (should_hold)
            this->hold_time += now - this->previous_time;
        return !should_hold;
    }

    /// Ends the move, at the end of the watch time or shortly before `finish_by`.
    std::optional<update_move> conclude(move_record const& record)
    {
        std::string undecided_reason;
        if (!record.full_since)
            undecided_reason = "the full share was not reached in time";
        else if (!this->version_verdict.has_enough_requests())
            undecided_reason = "too little traffic to decide";
        else if (this->version_verdict.is_suspect())
            undecided_reason = "signs of a worse version: " + this->version_verdict.describe();
        if (undecided_reason.empty())
            return this->make_update(record, 1, move_state::finished, this->finished_reason());
        bool const should_finish = this->on_undecided == undecided_choice::finish;
        return this->make_update(record, should_finish ? 1 : 0,
                                 should_finish ? move_state::finished : move_state::reversed,
                                 "undecided at the stated time (" + undecided_reason +
                                     "), on_undecided = " + (should_finish ? "finish" : "reverse"));
    }

    std::string finished_reason() const
    {
        std::string undersampled;
        for (auto const& route : this->version_verdict.undersampled_routes())
            undersampled +=
                (undersampled.empty() ? "; too few requests to compare: route " : ", ") +
                route.value();
        return "no difference found" + undersampled;
    }

    std::optional<update_move> report(wall_time now, move_record const& record, double share)
    {
        this->last_report = now;
        auto const* reason = share > record.share ? "next step" : "comparing";
        return this->make_update(record, share, move_state::running, reason);
    }

    std::optional<update_move> make_update(move_record const& record, double share,
                                           move_state state, std::string reason) const
    {
        return update_move{record.service, record.generation, share,
                           state,          std::move(reason), this->version_verdict.figures()};
    }

    move_settings settings;
    lagoonladder::generation generation;
    service_name moved_service;
    undecided_choice on_undecided;
    share_plan plan;
    verdict version_verdict;
    wall_time start_time;
    wall_time previous_time;
    wall_time last_step;
    wall_time last_report;
    duration hold_time{};
    double first_share = 0;
};

move_controller::move_controller(move_settings const& initial_settings)
    : settings(initial_settings)
{
}

move_controller::~move_controller() = default;
move_controller::move_controller(move_controller&&) noexcept = default;
move_controller& move_controller::operator=(move_controller&&) noexcept = default;

std::optional<update_move> move_controller::step(wall_time now, move_record const& record,
                                                 service_config const& service,
                                                 std::vector<traffic_sample> const& samples)
{
    if (record.state != move_state::running)
    {
        this->current_move.reset();
        return std::nullopt;
    }
    if (!this->current_move || !this->current_move->belongs_to(record))
        this->current_move = std::make_unique<implementation>(now, record, service, this->settings);
    return this->current_move->step(now, record, samples);
}

} // namespace lagoonladder::version
