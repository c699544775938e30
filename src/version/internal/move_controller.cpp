#include <lagoonladder/version/move_controller.hpp>

#include <algorithm>
#include <cmath>

#include "exposure_budget.hpp"
#include "figure_text.hpp"
#include "share_plan.hpp"
#include "verdict.hpp"

namespace lagoonladder::version
{

namespace
{

/// Figure with the seconds of the move whose requests the other figures count.
std::string const counted_seconds_figure = "counted_seconds";

/// Time by which entries report their requests late.
constexpr duration report_delay = seconds(1);

// Where the exposure limit holds to the end, a part of the budget is left for a larger share in
// the last part of the move, in which faults under load show.
constexpr double comparison_budget = 0.8;
constexpr double last_phase_budget = 0.9;
constexpr int last_phase_divisor = 5;
constexpr double max_last_phase_share = 0.5;

/// Smaller changes of the share are not worth an update, which is sent to all daemons.
constexpr double min_share_change = 0.2;

} // namespace

move_settings make_short_move_settings(double exposure_share, double exposure_requests)
{
    move_settings settings;
    settings.observation_time = seconds(1);
    settings.commit_margin = milliseconds(1500);
    settings.max_first_share = 0.1;
    settings.min_requests = 10;
    settings.report_interval = seconds(1);
    settings.exposure = {exposure_share, exposure_requests, true};
    return settings;
}

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
        , budget(initial_settings.exposure)
        , start_time(now)
        , previous_time(now)
        , last_step(now)
        , last_report(now)
    {
        this->add_unobserved_requests(now, record);
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
        {
            auto change = this->make_update(now, record, 0, move_state::reversed,
                                            this->version_verdict.describe());
            change.is_shown_worse = true;
            return change;
        }
        return this->settings.exposure.holds_to_end ? this->decide_within_budget(now, record)
                                                    : this->decide_by_plan(now, record);
    }

    /// Continues a move whose exposure limit holds to the end.
    std::optional<update_move> decide_within_budget(wall_time now, move_record const& record)
    {
        if (now >= record.finish_by - this->settings.commit_margin)
            return this->conclude(now, record);
        if (now - record.started < this->settings.observation_time)
            return std::nullopt;
        auto const share = this->share_within_budget(now, record);
        bool const is_changed = std::abs(share - record.share) > min_share_change * record.share;
        if (is_changed || now - this->last_report >= this->settings.report_interval)
            return this->report(now, record, is_changed ? share : record.share);
        return std::nullopt;
    }

    double share_within_budget(wall_time now, move_record const& record) const
    {
        auto const end = record.finish_by - this->settings.commit_margin;
        bool const is_last_phase =
            end - now <= (record.finish_by - record.started) / last_phase_divisor;
        if (is_last_phase && this->is_proven(record))
            return std::min(max_last_phase_share, this->max_share(now, record, last_phase_budget));
        return std::min(this->settings.max_unproven_share,
                        this->max_share(now, record, comparison_budget));
    }

    /// Continues a move whose exposure limit holds until the new version is shown to be as good as
    /// the old one.
    std::optional<update_move> decide_by_plan(wall_time now, move_record const& record)
    {
        bool const watch_is_over =
            record.full_since && now - *record.full_since >= this->plan.watch();
        if (watch_is_over && this->version_verdict.has_enough_requests() &&
            !this->version_verdict.is_suspect())
            return this->conclude(now, record);
        if (now >= record.finish_by - this->settings.commit_margin)
            return this->conclude(now, record);
        if (this->should_advance(now, record))
        {
            this->last_step = now;
            return this->report(now, record, this->next_share(now, record));
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
        bool const should_hold = has_evidence_to_hold ||
                                 this->version_verdict.has_backlog(record.share) ||
                                 this->next_share(now, record) <= record.share;
        if (should_hold)
            this->hold_time += now - this->previous_time;
        return !should_hold;
    }

    double next_share(wall_time now, move_record const& record)
    {
        auto const planned = this->plan.next_share(this->first_share, record.share);
        this->was_proven =
            this->was_proven || (this->is_proven(record) && !this->version_verdict.is_suspect());
        auto const limit = this->max_share(now, record, 1);
        if (this->was_proven || limit >= 1)
            return planned;
        return std::min({planned, this->settings.max_unproven_share, limit});
    }

    bool is_proven(move_record const& record) const
    {
        return this->version_verdict.is_shown_as_good() &&
               !this->version_verdict.has_backlog(record.share);
    }

    /// Largest share until `finish_by` that uses at most `fraction` of the exposure limit.
    double max_share(wall_time now, move_record const& record, double fraction) const
    {
        auto sent = this->version_verdict.sent();
        auto const observed_time =
            std::max<duration>(now - record.started - report_delay, seconds(1));
        auto const rate = sent.total / to_seconds(observed_time);
        auto const unreported = rate * to_seconds(report_delay);
        sent.candidate += record.share * unreported;
        sent.total += unreported;
        return this->budget.max_share(sent, rate, record.finish_by - now, fraction);
    }

    /// Adds an estimate of the requests that an earlier leader has not counted.
    void add_unobserved_requests(wall_time now, move_record const& record)
    {
        auto const found = record.figures.find(counted_seconds_figure);
        if (found == record.figures.end())
            return;
        auto const counted_seconds = std::max(parse_number(found->second), 1.0);
        auto const missing_seconds = to_seconds(now - record.started) - counted_seconds;
        if (missing_seconds <= 0)
            return;
        auto const missing = this->version_verdict.sent().total * missing_seconds / counted_seconds;
        this->version_verdict.add_unobserved({record.share * missing, missing});
    }

    /// Ends the move, at the end of the watch time or shortly before `finish_by`.
    std::optional<update_move> conclude(wall_time now, move_record const& record)
    {
        auto const reason = this->undecided_reason(record);
        if (reason.empty())
            return this->make_update(now, record, 1, move_state::finished, this->finished_reason());
        bool const should_finish = this->on_undecided == undecided_choice::finish;
        return this->make_update(now, record, should_finish ? 1 : 0,
                                 should_finish ? move_state::finished : move_state::reversed,
                                 "undecided at the stated time (" + reason +
                                     "), on_undecided = " + (should_finish ? "finish" : "reverse"));
    }

    /// Returns why the move cannot be decided by its figures; empty when the new version is as good
    /// as the old one.
    std::string undecided_reason(move_record const& record) const
    {
        auto const& figures = this->version_verdict;
        if (this->settings.exposure.holds_to_end)
        {
            if (!figures.has_enough_requests())
                return "too little traffic to decide";
            if (!figures.is_shown_as_good())
                return "the new version is not shown to be as good as the old one: " +
                       figures.describe_unshown();
            return {};
        }
        if (!record.full_since)
            return "the full share was not reached in time";
        if (!figures.has_enough_requests())
            return "too little traffic to decide";
        if (figures.is_suspect())
            return "signs of a worse version: " + figures.describe();
        return {};
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
        auto const* reason = share > record.share   ? "next step"
                             : share < record.share ? "limited by the exposure limit"
                                                    : "comparing";
        return this->make_update(now, record, share, move_state::running, reason);
    }

    update_move make_update(wall_time now, move_record const& record, double share,
                            move_state state, std::string reason) const
    {
        auto figures = this->version_verdict.figures();
        figures[counted_seconds_figure] = number_text(to_seconds(now - record.started));
        figures[exposure_limit_figure] =
            count_text(this->budget.limit_so_far(this->version_verdict.sent()));
        return {record.service,    record.generation,  share, state,
                std::move(reason), std::move(figures), false};
    }

    move_settings settings;
    lagoonladder::generation generation;
    service_name moved_service;
    undecided_choice on_undecided;
    share_plan plan;
    verdict version_verdict;
    exposure_budget budget;
    wall_time start_time;
    wall_time previous_time;
    wall_time last_step;
    wall_time last_report;
    duration hold_time{};
    double first_share = 0;
    bool was_proven = false;
};

move_exposure exposure_of(move_record const& record)
{
    auto const number = [&](std::string const& name)
    {
        auto const found = record.figures.find(name);
        return found == record.figures.end() ? 0 : parse_number(found->second);
    };
    return {number(sent_candidate_figure), number(exposure_limit_figure)};
}

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
