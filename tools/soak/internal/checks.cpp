#include <algorithm>
#include <iterator>

#include "history_index.hpp"

namespace lagoonladder::soak
{

namespace
{

std::string text_of(config_version version)
{
    return std::to_string(static_cast<std::uint64_t>(version));
}

std::string text_of(run_time time)
{
    return std::to_string(time.count() / 1000) + " ms";
}

/// 408, 429 and 5xx ask the operator to try again.
bool is_refusal(int status)
{
    return status / 100 == 4 && status != 408 && status != 429;
}

bool is_unknown(int status)
{
    return status == 401 || status == 403 || status == 404;
}

bool is_served(int status)
{
    return status / 100 == 2;
}

/// True when no version that may be in force at `time` lacks the route for being removed.
bool is_kept(history_index const& index, route_life const& life, run_time time)
{
    return !life.removed || !index.was_sent(*life.removed, time);
}

/// What a process showed: it knew `version` at `shown`.
struct evidence
{
    run_time shown{};
    config_version version{};
};

class regression_search
{
public:
    regression_search(history_index const& initial_index, check_bounds const& initial_bounds)
        : index(initial_index)
        , bounds(initial_bounds)
    {
    }

    /// Takes the calls of one process in order of their sending.
    void add(call_event const& call)
    {
        auto const* const life = this->index.find_route(call.route);
        if (life == nullptr)
            return;
        if (is_served(call.status))
            this->add_served(call, *life);
        else if (call.status == 404)
            this->add_unknown(call, *life);
    }

    violations found;

private:
    void add_served(call_event const& call, route_life const& life)
    {
        if (life.removed && this->known_at(call) >= *life.removed)
            this->report(call, "runs again, removed in version " + text_of(*life.removed));
        this->shown.push_back({call.ended, life.added});
    }

    void add_unknown(call_event const& call, route_life const& life)
    {
        if (this->known_at(call) < life.added)
            return;
        if (is_kept(this->index, life, call.ended))
            this->report(call, "is unknown again, added in version " + text_of(life.added));
        else
            this->shown.push_back({call.ended, *life.removed});
    }

    /// Newest version that the process had shown long enough before the call was sent.
    config_version known_at(call_event const& call) const
    {
        config_version newest{};
        for (auto const& earlier : this->shown)
        {
            if (earlier.version > newest && this->must_know(earlier, call))
                newest = earlier.version;
        }
        return newest;
    }

    bool must_know(evidence const& earlier, call_event const& call) const
    {
        if (call.sent <= earlier.shown + this->bounds.downgrade_slack)
            return false;
        auto const thaw = this->index.last_thaw(call.entry, earlier.shown, call.ended);
        return !thaw || call.sent > *thaw + this->bounds.frozen_slack;
    }

    void report(call_event const& call, std::string const& what)
    {
        this->found.push_back({"regression", call.ended, call.entry, call.route + " " + what});
    }

    history_index const& index;
    check_bounds const& bounds;
    std::vector<evidence> shown;
};

void check_final_entry(history const& recorded, check_bounds const& bounds, entry_id entry,
                       config_version newest, violations& found)
{
    auto const& last = *recorded.final_fault;
    bool const is_back = std::any_of(recorded.reads.begin(), recorded.reads.end(),
                                     [&](read_event const& read)
                                     {
                                         return read.entry == entry && read.sent >= last.killed &&
                                                read.ended <= last.back + bounds.recovery &&
                                                read.status == 200 && read.version >= newest;
                                     });
    if (!is_back)
        found.push_back({"final", last.back + bounds.recovery, entry,
                         "version " + text_of(newest) + " is not read back after the final fault"});
}

} // namespace

bool must_be_served(history_index const& index, check_bounds const& bounds, call_event const& call)
{
    auto const* const life = index.find_route(call.route);
    return life != nullptr && index.newest_acknowledged(call.sent - bounds.apply) >= life->added &&
           is_kept(index, *life, call.ended);
}

bool must_be_removed(history_index const& index, check_bounds const& bounds, call_event const& call)
{
    auto const* const life = index.find_route(call.route);
    return life != nullptr && life->removed &&
           index.newest_acknowledged(call.sent - bounds.apply) >= *life->removed;
}

std::vector<call_event const*> find_late_runs(history_index const& index,
                                              check_bounds const& bounds)
{
    std::vector<call_event const*> found;
    for (auto const& call : index.recorded_history().calls)
        if ((is_served(call.status) || call.ran) && must_be_removed(index, bounds, call))
            found.push_back(&call);
    return found;
}

violations check_answers(history const& recorded)
{
    history_index const index(recorded);
    violations found;
    for (auto const& put : recorded.puts)
    {
        bool const valid = index.is_valid(put.version);
        if (valid && is_refusal(put.status))
            found.push_back({"answer", put.ended, put.entry,
                             "valid version " + text_of(put.version) + " is refused with " +
                                 std::to_string(put.status)});
        if (!valid && put.status == 200)
            found.push_back({"answer", put.ended, put.entry,
                             "invalid version " + text_of(put.version) + " is acknowledged"});
    }
    for (auto const& read : recorded.reads)
        if (read.status == 200 &&
            (!index.is_valid(read.version) || !index.was_sent(read.version, read.ended)))
            found.push_back({"answer", read.ended, read.entry,
                             "version " + text_of(read.version) + " is read, never sent as valid"});
    return found;
}

violations check_reads(history const& recorded, check_bounds const& bounds)
{
    history_index const index(recorded);
    violations found;
    for (auto const& read : recorded.reads)
    {
        if (read.status != 200)
            continue;
        auto const newest = index.newest_acknowledged(read.sent - bounds.apply);
        if (read.version < newest)
            found.push_back({"read", read.ended, read.entry,
                             "version " + text_of(read.version) + " is read at " +
                                 text_of(read.sent) + ", acknowledged was " + text_of(newest)});
        if (!read.intact)
            found.push_back({"read", read.ended, read.entry,
                             "version " + text_of(read.version) + " has other routes than sent"});
    }
    return found;
}

violations check_added_routes(history const& recorded, check_bounds const& bounds)
{
    history_index const index(recorded);
    violations found;
    for (auto const& call : recorded.calls)
    {
        if (!is_unknown(call.status) || !must_be_served(index, bounds, call) ||
            !index.is_in_touch(call.entry, call.sent, call.ended, bounds.contact))
            continue;
        found.push_back({"added", call.ended, call.entry,
                         call.route + " of version " +
                             text_of(index.find_route(call.route)->added) + " is refused with " +
                             std::to_string(call.status) + ", sent at " + text_of(call.sent)});
    }
    return found;
}

violations check_regressions(history const& recorded, check_bounds const& bounds)
{
    history_index const index(recorded);
    auto calls = recorded.calls;
    std::sort(calls.begin(), calls.end(),
              [](auto const& left, auto const& right) { return left.sent < right.sent; });
    std::map<std::pair<entry_id, std::size_t>, regression_search> searches;
    for (auto const& call : calls)
    {
        auto const incarnation = index.incarnation(call.entry, call.sent);
        if (incarnation != index.incarnation(call.entry, call.ended))
            continue;
        searches.try_emplace({call.entry, incarnation}, index, bounds).first->second.add(call);
    }
    violations found;
    for (auto const& [process, search] : searches)
        found.insert(found.end(), search.found.begin(), search.found.end());
    return found;
}

violations check_removed_routes(history const& recorded, check_bounds const& bounds)
{
    history_index const index(recorded);
    violations found;
    for (auto const* const call : find_late_runs(index, bounds))
    {
        if (!index.is_in_touch(call->entry, call->sent, call->ended, bounds.contact))
            continue;
        auto const removed = *index.find_route(call->route)->removed;
        found.push_back({"removed", call->ended, call->entry,
                         call->route + ", removed in version " + text_of(removed) +
                             ", runs; sent at " + text_of(call->sent)});
    }
    return found;
}

violations check_final_state(history const& recorded, check_bounds const& bounds)
{
    violations found;
    if (!recorded.final_fault)
        return found;
    history_index const index(recorded);
    auto const newest = index.newest_acknowledged(run_time::max());
    for (auto const entry : recorded.final_fault->entries)
        check_final_entry(recorded, bounds, entry, newest, found);
    return found;
}

violations check_exits(history const& recorded)
{
    violations found;
    std::set<entry_id> full;
    for (auto const& fault : recorded.faults)
    {
        if (fault.kind == fault_kind::fill_disk)
            full.insert(fault.entry);
        if (fault.kind == fault_kind::free_disk)
            full.erase(fault.entry);
        if (fault.kind == fault_kind::exit && !full.contains(fault.entry))
            found.push_back({"exit", fault.at, fault.entry, "the process ended by itself"});
    }
    return found;
}

violations check_losses(history const& recorded, duration catch_up)
{
    violations found;
    history_index const index(recorded);
    auto const& all = index.all_disturbances();
    auto const is_common = [&](run_time time)
    {
        return std::any_of(recorded.faults.begin(), recorded.faults.end(),
                           [&](fault_event const& fault)
                           { return fault.kind == fault_kind::kill_core && fault.at == time; });
    };
    auto const is_counted = [&](disturbance const& loss)
    {
        bool const is_final = recorded.final_fault && loss.end >= recorded.final_fault->killed;
        return loss.has_disk && loss.end > loss.begin && !is_final && !is_common(loss.begin);
    };
    for (auto const& first : all)
        for (auto const& second : all)
            if (is_counted(first) && is_counted(second) && first.entry != second.entry &&
                first.begin <= second.begin && first.end + catch_up > second.begin)
                found.push_back({"losses", second.begin, second.entry,
                                 "a second entry with a disk is lost at the same time"});
    return found;
}

violations check_all(history const& recorded, check_bounds const& bounds)
{
    violations found;
    for (auto& part : {check_answers(recorded), check_reads(recorded, bounds),
                       check_added_routes(recorded, bounds), check_regressions(recorded, bounds),
                       check_removed_routes(recorded, bounds), check_final_state(recorded, bounds),
                       check_exits(recorded)})
        found.insert(found.end(), part.begin(), part.end());
    std::stable_sort(found.begin(), found.end(),
                     [](auto const& left, auto const& right) { return left.at < right.at; });
    return found;
}

} // namespace lagoonladder::soak
