#include "history_index.hpp"

#include <algorithm>

namespace lagoonladder::soak
{

namespace
{

constexpr run_time never_ends = run_time::max();

/// Makes each element the newest version until its time.
void make_rising(std::vector<std::pair<run_time, config_version>>& versions)
{
    std::sort(versions.begin(), versions.end());
    config_version newest{};
    for (auto& [at, version] : versions)
    {
        newest = std::max(newest, version);
        version = newest;
    }
}

config_version newest_until(std::vector<std::pair<run_time, config_version>> const& rising,
                            run_time time)
{
    auto const after =
        std::upper_bound(rising.begin(), rising.end(), time,
                         [](run_time value, auto const& element) { return value < element.first; });
    return after == rising.begin() ? config_version{} : std::prev(after)->second;
}

bool begins_disturbance(fault_kind kind)
{
    return kind == fault_kind::kill || kind == fault_kind::terminate || kind == fault_kind::exit ||
           kind == fault_kind::stop || kind == fault_kind::fill_disk;
}

bool ends_disturbance(fault_kind kind)
{
    return kind == fault_kind::start || kind == fault_kind::resume || kind == fault_kind::replace ||
           kind == fault_kind::free_disk;
}

bool is_of_entry(fault_kind kind)
{
    return kind != fault_kind::busy && kind != fault_kind::idle && kind != fault_kind::kill_core;
}

} // namespace

history_index::history_index(history const& initial_recorded)
    : recorded(initial_recorded)
{
    this->index_changes();
    this->index_puts();
    this->index_faults();
}

config_version history_index::newest_acknowledged(run_time time) const
{
    return newest_until(this->acknowledged, time);
}

config_version history_index::newest_sent(run_time time) const
{
    return newest_until(this->sent, time);
}

bool history_index::was_sent(config_version version, run_time time) const
{
    auto const found = this->changes.find(version);
    return found != this->changes.end() && found->second->at <= time;
}

bool history_index::is_valid(config_version version) const
{
    auto const found = this->changes.find(version);
    return found != this->changes.end() && found->second->valid;
}

route_life const* history_index::find_route(std::string const& route) const
{
    auto const found = this->routes.find(route);
    return found == this->routes.end() ? nullptr : &found->second;
}

bool history_index::is_in_touch(entry_id entry, run_time begin, run_time end,
                                duration contact) const
{
    auto const& last = this->recorded.final_fault;
    return std::none_of(this->disturbances.begin(), this->disturbances.end(),
                        [&](disturbance const& past)
                        {
                            bool const matters = past.has_disk || past.entry == entry;
                            bool const is_final = last && past.end >= last->killed;
                            auto const span = is_final ? 2 * contact : contact;
                            bool const is_recent =
                                past.end == never_ends || past.end + span >= begin;
                            return matters && is_recent && past.begin <= end;
                        });
}

bool history_index::is_undisturbed(entry_id entry, run_time begin, run_time end) const
{
    return std::none_of(this->disturbances.begin(), this->disturbances.end(),
                        [&](disturbance const& past)
                        { return past.entry == entry && past.end >= begin && past.begin <= end; });
}

std::size_t history_index::incarnation(entry_id entry, run_time time) const
{
    auto const found = this->starts.find(entry);
    if (found == this->starts.end())
        return 0;
    auto const& times = found->second;
    auto const after = std::upper_bound(times.begin(), times.end(), time);
    return static_cast<std::size_t>(after - times.begin());
}

std::optional<run_time> history_index::last_thaw(entry_id entry, run_time begin, run_time end) const
{
    std::optional<run_time> result;
    for (auto const& freeze : this->freezes)
    {
        bool const overlaps = freeze.begin <= end && freeze.end >= begin;
        if (freeze.entry == entry && overlaps && (!result || *result < freeze.end))
            result = freeze.end;
    }
    return result;
}

void history_index::index_changes()
{
    for (auto const& change : this->recorded.changes)
    {
        this->changes[change.version] = &change;
        if (!change.valid)
            continue;
        this->sent.emplace_back(change.at, change.version);
        for (auto const& route : change.added)
            this->routes[route].added = change.version;
        for (auto const& route : change.removed)
            this->routes[route].removed = change.version;
    }
    make_rising(this->sent);
}

void history_index::index_puts()
{
    for (auto const& put : this->recorded.puts)
        if (put.status == 200 && this->is_valid(put.version))
            this->acknowledged.emplace_back(put.ended, put.version);
    make_rising(this->acknowledged);
}

void history_index::index_faults()
{
    auto events = this->recorded.faults;
    std::stable_sort(events.begin(), events.end(),
                     [](auto const& left, auto const& right) { return left.at < right.at; });
    std::map<entry_id, disturbance> open;
    for (auto const& event : events)
    {
        if (!is_of_entry(event.kind))
            continue;
        this->index_process(event);
        disturbance const now{event.entry, event.has_disk, event.at, event.at};
        if (begins_disturbance(event.kind))
        {
            open.try_emplace(event.entry, now);
            continue;
        }
        auto const begun = open.find(event.entry);
        this->disturbances.push_back(now);
        if (begun == open.end() || !ends_disturbance(event.kind))
            continue;
        this->disturbances.back().begin = begun->second.begin;
        open.erase(begun);
    }
    for (auto& [entry, remaining] : open)
    {
        remaining.end = never_ends;
        this->disturbances.push_back(remaining);
    }
}

void history_index::index_process(fault_event const& event)
{
    if (event.kind == fault_kind::start)
        this->starts[event.entry].push_back(event.at);
    if (event.kind == fault_kind::stop)
        this->freezes.push_back({event.entry, event.has_disk, event.at, never_ends});
    if (event.kind != fault_kind::resume)
        return;
    for (auto& freeze : this->freezes)
        if (freeze.entry == event.entry && freeze.end == never_ends)
            freeze.end = event.at;
}

} // namespace lagoonladder::soak
