#ifndef LAGOONLADDER_CONTROL_DUTY_DRIVER_HPP
#define LAGOONLADDER_CONTROL_DUTY_DRIVER_HPP

#include <lagoonladder/proxy.hpp>

#include "capacity_driver.hpp"
#include "consensus_driver.hpp"

namespace lagoonladder::control
{

/// Carries out the duties towards the platform that only one daemon at a time may perform:
/// usage reports and capacity orders. The holder is the leader, once the lease of the previous
/// holder has expired. Runs on the control thread.
class duty_driver
{
public:
    /// `own_node` and `platform` are null on a VM without a log or without a platform.
    duty_driver(consensus_driver* own_node, config::settings const& config, telemetry const& sinks);

    void set_platform(proxy::platform_duties* target) { this->platform = target; }

    /// Adds the usage counts of one entry.
    void collect(version::usage_report const& report);

    /// Performs the duties that are due. To be called at each report interval.
    void step(control_view const& view);

private:
    void step_usage();
    /// Returns whether this daemon may perform the duties now. Resets the state when it has become
    /// the leader of a new term.
    bool holds_duty();
    void commit_counts();
    void propose_counts(version::add_usage command,
                        std::map<vm_id, version::usage_report> const& proposed_reports);
    std::uint64_t first_open_window() const;
    void close_windows();
    void report_windows();
    /// Commits that the platform has accepted the counts of a window.
    void confirm(std::uint64_t window);
    proxy::platform_duties::holder self() const;

    consensus_driver* const node;
    config::settings const& options;
    event_sink& events;
    clock const& time;
    proxy::platform_duties* platform = nullptr;
    /// Usage counts that are not committed yet, and those that were committed last, by entry.
    std::map<vm_id, version::usage_report> pending_reports;
    std::map<vm_id, version::usage_report> committed_reports;
    /// Term of the own leadership, and the time at which it was first noticed.
    std::uint64_t held_term = 0;
    time_point held_since{};
    capacity_driver capacity;
    /// Proposed commands with usage counts that are not committed yet.
    std::size_t pending_commits = 0;
    bool is_closing = false;
    bool is_reporting = false;
};

} // namespace lagoonladder::control

#endif
