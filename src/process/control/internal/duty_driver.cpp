#include "duty_driver.hpp"

namespace lagoonladder::control
{

namespace
{

/// Entries report about once a second. Reports that arrive within this time after the end of a
/// window still count.
constexpr duration window_close_delay = seconds(3);
constexpr duration command_timeout = seconds(2);
/// Windows without counts are closed too, but a holder that is further behind starts at most this
/// many windows back.
constexpr std::uint64_t max_windows_behind = 16;

} // namespace

duty_driver::duty_driver(consensus_driver* own_node, config::settings const& config,
                         telemetry const& sinks)
    : node(own_node)
    , options(config)
    , events(sinks.events)
    , time(sinks.time)
    , capacity(sinks, config.pass_through.engine_capacity)
{
}

void duty_driver::collect(version::usage_report const& report)
{
    auto const committed = this->committed_reports.find(report.vm);
    if (committed == this->committed_reports.end() || committed->second != report)
        this->pending_reports[report.vm] = report;
}

void duty_driver::step(control_view const& view)
{
    if (this->platform == nullptr || this->node == nullptr || !this->holds_duty())
        return;
    this->step_usage();
    this->capacity.step(view, *this->platform, this->self());
}

void duty_driver::step_usage()
{
    if (this->platform == nullptr || !this->holds_duty())
        return;
    this->commit_counts();
    this->close_windows();
    this->report_windows();
}

void duty_driver::commit_counts()
{
    if (this->pending_commits > 0 || this->pending_reports.empty())
        return;
    std::vector<version::usage_report> changed_reports;
    for (auto const& [vm, report] : this->pending_reports)
    {
        auto changes =
            version::changed_usage(report, this->committed_reports[vm], this->first_open_window());
        if (!changes.windows.empty())
            changed_reports.push_back(std::move(changes));
    }
    auto const proposed_reports = std::exchange(this->pending_reports, {});
    auto commands = version::make_usage_commands(changed_reports);
    this->pending_commits = commands.size();
    for (auto& command : commands)
        this->propose_counts(std::move(command), proposed_reports);
}

void duty_driver::propose_counts(version::add_usage command,
                                 std::map<vm_id, version::usage_report> const& proposed_reports)
{
    std::vector<version::usage_report> full_reports;
    for (auto const& report : command.reports)
        full_reports.push_back(proposed_reports.at(report.vm));
    this->node->propose(std::move(command), this->time.now() + command_timeout,
                        [this, term = this->held_term,
                         full_reports = std::move(full_reports)](proposal_outcome const& outcome)
                        {
                            if (term != this->held_term)
                                return;
                            --this->pending_commits;
                            if (outcome.status != proposal_status::committed)
                                return;
                            for (auto const& report : full_reports)
                                this->committed_reports[report.vm] = report;
                        });
}

std::uint64_t duty_driver::first_open_window() const
{
    auto const& closed = this->node->state().usage_windows();
    return closed.empty() ? 0 : closed.rbegin()->first + 1;
}

bool duty_driver::holds_duty()
{
    if (!this->node->is_leader())
    {
        this->held_term = 0;
        return false;
    }
    auto const now = this->time.now();
    if (this->held_term != this->node->term())
    {
        this->held_term = this->node->term();
        this->held_since = now;
        this->committed_reports.clear();
        this->pending_commits = 0;
        this->is_closing = false;
        this->is_reporting = false;
        this->capacity.reset();
        this->events.emit(severity::info, "duty.acquired",
                          {{"fencing_number", std::to_string(this->held_term)}});
    }
    // All calls of the previous holder must have ended before this holder makes its first one.
    return now - this->held_since >= this->options.pass_through.duty_lease &&
           this->node->has_valid_lease();
}

proxy::platform_duties::holder duty_driver::self() const
{
    return {this->options.vm, this->node->term()};
}

void duty_driver::close_windows()
{
    auto const window_length = this->options.pass_through.usage_window;
    auto const close_time = this->time.wall_now() - window_close_delay;
    auto const end_window =
        static_cast<std::uint64_t>(close_time.time_since_epoch() / window_length);
    auto const& closed = this->node->state().usage_windows();
    auto const first_counted = this->node->state().open_usage().first_window();
    if (this->is_closing || (closed.empty() && !first_counted))
        return;
    auto window = closed.empty() ? *first_counted : this->first_open_window();
    if (window >= end_window)
        return;
    window = std::max(window, end_window - std::min(end_window, max_windows_behind));
    auto const counts = this->node->state().open_usage().totals(window);
    this->events.emit(
        severity::info, "usage.window_closing",
        {{"window", std::to_string(window)}, {"accounts", std::to_string(counts.size())}});
    this->is_closing = true;
    this->node->propose(version::close_usage_window{window}, this->time.now() + command_timeout,
                        [this, term = this->held_term](proposal_outcome const&)
                        {
                            if (term != this->held_term)
                                return;
                            this->is_closing = false;
                            this->step_usage();
                        });
}

void duty_driver::report_windows()
{
    if (this->is_reporting)
        return;
    for (auto const& [number, window] : this->node->state().usage_windows())
    {
        if (window.is_confirmed || window.counts.empty())
            continue;
        this->is_reporting = true;
        this->platform->report_usage(
            this->self(), number, window.counts,
            [this, term = this->held_term, window_number = number](bool accepted)
            {
                if (term != this->held_term)
                    return;
                this->is_reporting = false;
                this->events.emit(accepted ? severity::info : severity::warning, "usage.reported",
                                  {{"window", std::to_string(window_number)},
                                   {"accepted", accepted ? "yes" : "no"}});
                if (accepted)
                    this->confirm(window_number);
            });
        return;
    }
}

void duty_driver::confirm(std::uint64_t window)
{
    this->node->propose(version::confirm_usage_window{window}, this->time.now() + command_timeout,
                        [this, term = this->held_term](proposal_outcome const& outcome)
                        {
                            bool const is_committed = outcome.status == proposal_status::committed;
                            if (is_committed && term == this->held_term)
                                this->step_usage();
                        });
}

} // namespace lagoonladder::control
