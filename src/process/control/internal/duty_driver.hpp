#ifndef LAGOONLADDER_CONTROL_DUTY_DRIVER_HPP
#define LAGOONLADDER_CONTROL_DUTY_DRIVER_HPP

#include <lagoonladder/proxy.hpp>

#include "capacity_driver.hpp"
#include "consensus_driver.hpp"

namespace lagoonladder::control
{

/// Carries out the calls to the platform that one daemon at a time makes: the leader,
/// once the last holder's lease has run out. Lives on the control thread.
class duty_driver
{
public:
    /// `own_node` and `platform` are null on a VM without a log or without a platform.
    duty_driver(consensus_driver* own_node, config::settings const& config, event_sink& log,
                clock const& time_source);

    void set_platform(proxy::platform_duties* target) { this->platform = target; }

    /// Counts of one entry.
    void collect(version::usage_report const& report);

    /// To be called with each report.
    void step(control_view const& view);

private:
    void step_usage();
    bool holds_duty();
    void note_counts();
    void note(version::add_usage order, std::map<vm_id, version::usage_report> const& sent);
    std::uint64_t first_open_window() const;
    void close_windows();
    void report_windows();
    void confirm(std::uint64_t window);
    proxy::platform_duties::holder self() const;

    consensus_driver* const node;
    config::settings const& options;
    event_sink& events;
    clock const& time;
    proxy::platform_duties* platform = nullptr;
    /// Counts that were not noted yet, and those that were noted last, by entry.
    std::map<vm_id, version::usage_report> received;
    std::map<vm_id, version::usage_report> noted;
    /// Term of the own leadership, and when it was first seen.
    std::uint64_t held_term = 0;
    time_point held_since{};
    capacity_driver capacity;
    /// Commands with counts that are not yet committed.
    std::size_t open_notes = 0;
    bool is_closing = false;
    bool is_reporting = false;
};

} // namespace lagoonladder::control

#endif
