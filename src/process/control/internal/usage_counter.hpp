#ifndef LAGOONLADDER_CONTROL_USAGE_COUNTER_HPP
#define LAGOONLADDER_CONTROL_USAGE_COUNTER_HPP

#include <mutex>

#include <lagoonladder/version.hpp>

namespace lagoonladder::control
{

/// Counts the requests that begin to run at this entry, by account and time window. Thread-safe.
class usage_counter
{
public:
    usage_counter(vm_id self, clock const& time_source, duration window);

    void add(account_id const& account);

    /// Returns the totals of the latest windows.
    version::usage_report report() const;

    /// Number of the window that contains a time.
    std::uint64_t window_of(wall_time when) const;

private:
    /// A window is reported long enough that even a new duty holder has closed it.
    static constexpr std::size_t max_windows = 8;

    vm_id const vm;
    clock const& time;
    duration const window_length;
    incarnation const started;
    mutable std::mutex mutex;
    std::map<std::uint64_t, version::account_counts> windows;
};

} // namespace lagoonladder::control

#endif
