#include "usage_counter.hpp"

namespace lagoonladder::control
{

usage_counter::usage_counter(vm_id self, clock const& time_source, duration window)
    : vm(std::move(self))
    , time(time_source)
    , window_length(window)
    , started(static_cast<std::uint64_t>(time_source.wall_now().time_since_epoch().count()))
{
}

std::uint64_t usage_counter::window_of(wall_time when) const
{
    return static_cast<std::uint64_t>(when.time_since_epoch() / this->window_length);
}

void usage_counter::add(account_id const& account)
{
    auto const window = this->window_of(this->time.wall_now());
    std::lock_guard const lock(this->mutex);
    ++this->windows[window][account];
    while (this->windows.size() > max_windows)
        this->windows.erase(this->windows.begin());
}

version::usage_report usage_counter::report() const
{
    std::lock_guard const lock(this->mutex);
    return {this->vm, this->started, this->windows};
}

} // namespace lagoonladder::control
