#include <lagoonladder/version/usage_ledger.hpp>

#include <algorithm>

#include "envelope.hpp"
#include "usage_json.hpp"

namespace lagoonladder::version
{

void to_json(nlohmann::json& out, usage_report const& in)
{
    auto windows = nlohmann::json::array();
    for (auto const& [window, counts] : in.windows)
        windows.push_back({window, counts_json(counts)});
    out = {{"vm", in.vm}, {"started", in.started}, {"windows", std::move(windows)}};
}

void from_json(nlohmann::json const& in, usage_report& out)
{
    in.at("vm").get_to(out.vm);
    in.at("started").get_to(out.started);
    out.windows.clear();
    for (auto const& item : in.at("windows"))
        out.windows.emplace(item.at(0).get<std::uint64_t>(), counts_from(item.at(1)));
}

std::string encode(usage_report const& value)
{
    return make_envelope(envelope_kind::usage, value);
}

usage_report decode_usage_report(std::string const& bytes)
{
    auto const in = open_envelope(envelope_kind::usage, bytes);
    return convert_json_errors("a usage report", [&] { return in.get<usage_report>(); });
}

void usage_ledger::add(usage_report const& report)
{
    for (auto const& [window, counts] : report.windows)
    {
        if (window < this->first_kept_window)
            continue;
        auto& stored_counts = this->windows[window][{report.vm, report.started}];
        // Reports may arrive out of order; the totals of an entry never decrease.
        for (auto const& [account, count] : counts)
            stored_counts[account] = std::max(stored_counts[account], count);
    }
}

account_counts usage_ledger::totals(std::uint64_t window) const
{
    account_counts sum;
    auto const found = this->windows.find(window);
    if (found == this->windows.end())
        return sum;
    for (auto const& [entry, counts] : found->second)
    {
        for (auto const& [account, count] : counts)
            sum[account] += count;
    }
    return sum;
}

std::optional<std::uint64_t> usage_ledger::first_window() const
{
    if (this->windows.empty())
        return std::nullopt;
    return this->windows.begin()->first;
}

std::optional<std::uint64_t> usage_ledger::last_window() const
{
    if (this->windows.empty())
        return std::nullopt;
    return this->windows.rbegin()->first;
}

std::vector<usage_report> usage_ledger::reports() const
{
    std::map<entry_process, usage_report> reports_by_entry;
    for (auto const& [window, entries] : this->windows)
    {
        for (auto const& [entry, counts] : entries)
        {
            auto& report = reports_by_entry[entry];
            report.vm = entry.first;
            report.started = entry.second;
            report.windows.emplace(window, counts);
        }
    }
    std::vector<usage_report> all;
    for (auto& [entry, report] : reports_by_entry)
        all.push_back(std::move(report));
    return all;
}

void usage_ledger::remove_before(std::uint64_t window)
{
    this->first_kept_window = std::max(this->first_kept_window, window);
    this->windows.erase(this->windows.begin(), this->windows.lower_bound(this->first_kept_window));
}

} // namespace lagoonladder::version
