#include <lagoonladder/version/usage_commands.hpp>

namespace lagoonladder::version
{

usage_report changed_usage(usage_report const& report, usage_report const& committed,
                           std::uint64_t first_open)
{
    usage_report changed{report.vm, report.started, {}};
    bool const is_same_start = committed.started == report.started;
    for (auto const& [window, counts] : report.windows)
    {
        if (window < first_open)
            continue;
        auto const position = committed.windows.find(window);
        bool const is_committed =
            is_same_start && position != committed.windows.end() && position->second == counts;
        if (!is_committed)
            changed.windows.emplace(window, counts);
    }
    return changed;
}

std::vector<add_usage> make_usage_commands(std::vector<usage_report> const& reports)
{
    std::vector<add_usage> commands;
    std::size_t bytes = 0;
    for (auto const& report : reports)
    {
        auto const size = encode(report).size();
        if (commands.empty() || bytes + size > max_content_part_bytes)
        {
            commands.emplace_back();
            bytes = 0;
        }
        commands.back().reports.push_back(report);
        bytes += size;
    }
    return commands;
}

} // namespace lagoonladder::version
