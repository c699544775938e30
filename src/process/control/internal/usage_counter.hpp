#ifndef LAGOONLADDER_CONTROL_USAGE_COUNTER_HPP
#define LAGOONLADDER_CONTROL_USAGE_COUNTER_HPP

#include <mutex>

#include <lagoonladder/version.hpp>

namespace lagoonladder::control
{

/// Counts the requests of accounts that begin to run at this entry, by window. Safe to
/// call from any thread.
class usage_counter
{
public:
    usage_counter(vm_id self, clock const& time_source, duration window);

    void add(account_id const& account);

    /// Totals of the latest windows.
    version::usage_report report() const;

    std::uint64_t window_of(wall_time when) const;

private:
    /// A window is reported until a new holder of the duty has surely closed it.
    static constexpr std::size_t kept_windows = 8;

    vm_id const vm;
    clock const& time;
    duration const span;
    incarnation const started;
    mutable std::mutex mutex;
    std::map<std::uint64_t, version::account_counts> windows;
};

} // namespace lagoonladder::control

#endif
