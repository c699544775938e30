#include <lagoonladder/version/usage_commands.hpp>

namespace lagoonladder::version
{

usage_report changed_usage(usage_report const& report, usage_report const& noted,
                           std::uint64_t first_open)
{
    usage_report news{report.vm, report.started, {}};
    bool const is_same_start = noted.started == report.started;
    for (auto const& [window, counts] : report.windows)
    {
        if (window < first_open)
            continue;
        auto const known = noted.windows.find(window);
        bool const is_known =
            is_same_start && known != noted.windows.end() && known->second == counts;
        if (!is_known)
            news.windows.emplace(window, counts);
    }
    return news;
}

std::vector<add_usage> make_usage_commands(std::vector<usage_report> const& reports)
{
    std::vector<add_usage> notes;
    std::size_t bytes = 0;
    for (auto const& report : reports)
    {
        auto const size = encode(report).size();
        if (notes.empty() || bytes + size > max_content_part_bytes)
        {
            notes.emplace_back();
            bytes = 0;
        }
        notes.back().reports.push_back(report);
        bytes += size;
    }
    return notes;
}

} // namespace lagoonladder::version
