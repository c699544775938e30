#include <lagoonladder/version/usage_ledger.hpp>

#include <algorithm>

#include "envelope.hpp"
#include "usage_json.hpp"

namespace lagoonladder::version
{

std::string encode(usage_report const& value)
{
    auto windows = nlohmann::json::array();
    for (auto const& [window, counts] : value.windows)
        windows.push_back({window, counts_json(counts)});
    return seal(envelope_kind::of_usage,
                {{"vm", value.vm}, {"started", value.started}, {"windows", std::move(windows)}});
}

usage_report decode_usage_report(std::string const& bytes)
{
    auto const in = open_envelope(envelope_kind::of_usage, bytes);
    return read_fields("a usage report",
                       [&]
                       {
                           usage_report report;
                           in.at("vm").get_to(report.vm);
                           in.at("started").get_to(report.started);
                           for (auto const& item : in.at("windows"))
                               report.windows.emplace(item.at(0).get<std::uint64_t>(),
                                                      counts_from(item.at(1)));
                           return report;
                       });
}

void usage_ledger::add(usage_report const& report)
{
    for (auto const& [window, counts] : report.windows)
    {
        if (window < this->oldest)
            continue;
        auto& known = this->windows[window][{report.vm, report.started}];
        // Reports may overtake each other; totals only grow.
        for (auto const& [account, count] : counts)
            known[account] = std::max(known[account], count);
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

void usage_ledger::forget_before(std::uint64_t window)
{
    this->oldest = std::max(this->oldest, window);
    this->windows.erase(this->windows.begin(), this->windows.lower_bound(this->oldest));
}

} // namespace lagoonladder::version
