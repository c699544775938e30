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
                   move_settings const& limits)
        : settings(limits)
        , generation(record.generation)
        , service_id(record.service)
        , on_undecided(service.on_undecided)
        , plan(record, service, limits)
        , comparison(record, limits)
        , begin(now)
        , previous(now)
        , last_step(now)
        , last_report(now)
    {
    }

    bool belongs_to(move_record const& record) const
    {
        return record.service == this->service_id && record.generation == this->generation;
    }

    std::optional<update_move> step(wall_time now, move_record const& record,
                                    std::vector<traffic_sample> const& samples)
    {
        this->comparison.add(samples, record.share);
        auto change = this->decide(now, record);
        this->previous = now;
        return change;
    }

private:
    std::optional<update_move> decide(wall_time now, move_record const& record)
    {
        if (this->comparison.is_bad())
            return this->make(record, 0, move_state::reversed, this->comparison.describe());
        bool const watched = record.full_since && now - *record.full_since >= this->plan.watch();
        if (watched && this->comparison.is_decided() && !this->comparison.is_suspect())
            return this->conclude(record);
        if (now >= record.finish_by - this->settings.commit_margin)
            return this->conclude(record);
        if (this->may_step(now, record))
        {
            this->last_step = now;
            return this->report(now, record, this->plan.next_share(this->first, record.share));
        }
        if (now - this->last_report >= this->settings.report_interval)
            return this->report(now, record, record.share);
        return std::nullopt;
    }

    bool may_step(wall_time now, move_record const& record)
    {
        if (record.share >= 1 || now - this->begin < this->settings.observation_time)
            return false;
        // The share of an earlier step stays as it was planned when the rate changes.
        if (record.share <= 0 || this->first <= 0)
            this->first = this->plan.first_share(this->comparison.busiest_route_rate());
        if (!this->plan.is_step_due(now, this->held, this->last_step, this->first, record.share))
            return false;
        bool const is_doubtful = this->comparison.is_suspect() &&
                                 !this->plan.is_slack_used(now, this->first, record.share);
        // More traffic for calls that do not end would only be more evidence of the same.
        bool const hold = is_doubtful || this->comparison.has_backlog(record.share);
        if (hold)
            this->held += now - this->previous;
        return !hold;
    }

    /// Ends the move at the end of the watch time or at the stated time.
    std::optional<update_move> conclude(move_record const& record)
    {
        std::string undecided;
        if (!record.full_since)
            undecided = "the full share was not reached in time";
        else if (!this->comparison.is_decided())
            undecided = "too little traffic to decide";
        else if (this->comparison.is_suspect())
            undecided = "signs of a worse version: " + this->comparison.describe();
        if (undecided.empty())
            return this->make(record, 1, move_state::finished, this->finished_reason());
        bool const finish = this->on_undecided == undecided_choice::finish;
        return this->make(record, finish ? 1 : 0,
                          finish ? move_state::finished : move_state::reversed,
                          "undecided at the stated time (" + undecided +
                              "), on_undecided = " + (finish ? "finish" : "reverse"));
    }

    std::string finished_reason() const
    {
        std::string thin;
        for (auto const& route : this->comparison.thin_routes())
            thin += (thin.empty() ? "; too few requests to compare: route " : ", ") + route.value();
        return "no difference found" + thin;
    }

    std::optional<update_move> report(wall_time now, move_record const& record, double share)
    {
        this->last_report = now;
        auto const* reason = share > record.share ? "next step" : "comparing";
        return this->make(record, share, move_state::running, reason);
    }

    std::optional<update_move> make(move_record const& record, double share, move_state state,
                                    std::string reason) const
    {
        return update_move{record.service, record.generation, share,
                           state,          std::move(reason), this->comparison.figures()};
    }

    move_settings settings;
    lagoonladder::generation generation;
    service_name service_id;
    undecided_choice on_undecided;
    share_plan plan;
    verdict comparison;
    wall_time begin;
    wall_time previous;
    wall_time last_step;
    wall_time last_report;
    duration held{};
    double first = 0;
};

move_controller::move_controller(move_settings const& limits)
    : settings(limits)
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
        this->current.reset();
        return std::nullopt;
    }
    if (!this->current || !this->current->belongs_to(record))
        this->current = std::make_unique<implementation>(now, record, service, this->settings);
    return this->current->step(now, record, samples);
}

} // namespace lagoonladder::version
