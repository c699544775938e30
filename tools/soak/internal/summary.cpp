#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

#include "history_index.hpp"

namespace lagoonladder::soak
{

namespace
{

bool is_cause(fault_kind kind)
{
    return kind != fault_kind::start && kind != fault_kind::resume &&
           kind != fault_kind::free_disk && kind != fault_kind::idle;
}

std::map<config_version, run_time> acknowledgement_times(history const& recorded)
{
    std::map<config_version, run_time> times;
    for (auto const& put : recorded.puts)
    {
        if (put.status != 200)
            continue;
        auto& time = times.try_emplace(put.version, put.ended).first->second;
        time = std::min(time, put.ended);
    }
    return times;
}

/// Ends of the first calls that an entry served on a route of each version or of a newer one.
using first_served = std::map<config_version, run_time>;

std::map<entry_id, first_served> find_first_served(history const& recorded,
                                                   history_index const& index)
{
    std::map<entry_id, first_served> by_entry;
    for (auto const& call : recorded.calls)
    {
        auto const* const life = index.find_route(call.route);
        if (life == nullptr || call.status != 200)
            continue;
        auto& time = by_entry[call.entry].try_emplace(life->added, call.ended).first->second;
        time = std::min(time, call.ended);
    }
    for (auto& [entry, times] : by_entry)
    {
        auto earliest = run_time::max();
        for (auto each = times.rbegin(); each != times.rend(); ++each)
            earliest = each->second = std::min(earliest, each->second);
    }
    return by_entry;
}

std::vector<duration> collect_lags(history const& recorded, history_index const& index,
                                   std::map<config_version, run_time> const& acknowledged)
{
    std::vector<duration> lags;
    for (auto const& [entry, times] : find_first_served(recorded, index))
        for (auto const& change : recorded.changes)
        {
            auto const known = acknowledged.find(change.version);
            auto const served = times.lower_bound(change.version);
            if (change.added.empty() || known == acknowledged.end() || served == times.end())
                continue;
            auto const begin = std::min(known->second, served->second);
            if (index.is_undisturbed(entry, begin, served->second) &&
                index.incarnation(entry, begin) > 0)
                lags.push_back(served->second - begin);
        }
    std::sort(lags.begin(), lags.end());
    return lags;
}

/// `portion` is 0 to 1; returns 0 without values.
duration quantile(std::vector<duration> const& sorted, double portion)
{
    if (sorted.empty())
        return duration{};
    auto const last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(portion * last))];
}

void count_judged_calls(history const& recorded, history_index const& index,
                        check_bounds const& bounds, summary& totals)
{
    for (auto const& call : recorded.calls)
    {
        if (call.status == 0 ||
            !index.is_in_touch(call.entry, call.sent, call.ended, bounds.contact))
            continue;
        totals.judged_added += must_be_served(index, bounds, call) ? 1 : 0;
        totals.judged_removed += must_be_removed(index, bounds, call) ? 1 : 0;
    }
}

} // namespace

summary summarize(history const& recorded, check_bounds const& bounds)
{
    history_index const index(recorded);
    auto const acknowledged = acknowledgement_times(recorded);
    summary totals;
    totals.acknowledged = acknowledged.size();
    totals.reads = recorded.reads.size();
    totals.calls = recorded.calls.size();
    totals.answered_reads = static_cast<std::size_t>(
        std::count_if(recorded.reads.begin(), recorded.reads.end(),
                      [](read_event const& read) { return read.status == 200; }));
    totals.answered_calls = static_cast<std::size_t>(
        std::count_if(recorded.calls.begin(), recorded.calls.end(),
                      [](call_event const& call) { return call.status != 0; }));
    for (auto const& fault : recorded.faults)
        if (is_cause(fault.kind))
            ++totals.faults[to_string(fault.kind)];
    count_judged_calls(recorded, index, bounds, totals);
    for (auto const* const call : find_late_runs(index, bounds))
        if (!index.is_in_touch(call->entry, call->sent, call->ended, bounds.contact))
            ++totals.late_runs_out_of_touch;
    totals.lags = collect_lags(recorded, index, acknowledged);
    return totals;
}

std::string format(summary const& totals)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1);
    text << "acknowledged=" << totals.acknowledged << " reads=" << totals.reads
         << " answered_reads=" << totals.answered_reads << " calls=" << totals.calls
         << " answered_calls=" << totals.answered_calls << " judged_added=" << totals.judged_added
         << " judged_removed=" << totals.judged_removed
         << " late_runs_out_of_touch=" << totals.late_runs_out_of_touch << "\nfaults:";
    for (auto const& [kind, count] : totals.faults)
        text << ' ' << kind << '=' << count;
    text << "\nlag to the first call: count=" << totals.lags.size()
         << " p50_ms=" << to_seconds(quantile(totals.lags, 0.5)) * 1000
         << " p99_ms=" << to_seconds(quantile(totals.lags, 0.99)) * 1000
         << " most_ms=" << to_seconds(quantile(totals.lags, 1)) * 1000 << '\n';
    return text.str();
}

} // namespace lagoonladder::soak
