#include "report_format.hpp"

#include <array>
#include <cstdio>

#include <lagoonladder/base.hpp>

#include "text_table.hpp"

namespace lagoonladder::cli
{

namespace
{

std::string format_value(nlohmann::json const& value)
{
    if (value.is_null())
        return "-";
    if (value.is_boolean())
        return value.get<bool>() ? "yes" : "no";
    if (value.is_string())
        return value.get<std::string>().empty() ? "-" : value.get<std::string>();
    return value.dump();
}

nlohmann::json const& field(nlohmann::json const& object, char const* name)
{
    static nlohmann::json const missing;
    auto const found = object.is_object() ? object.find(name) : object.end();
    return found == object.end() ? missing : *found;
}

std::string cell(nlohmann::json const& object, char const* name)
{
    return format_value(field(object, name));
}

/// Formats a field with microseconds since 1970 as UTC time without fractions of a second.
std::string time_cell(nlohmann::json const& object, char const* name)
{
    auto const& value = field(object, name);
    if (!value.is_number_integer())
        return format_value(value);
    return format_wall_time(wall_time(duration(value.get<std::int64_t>()))).substr(0, 19) + "Z";
}

std::string percent_cell(nlohmann::json const& object, char const* name)
{
    auto const& value = field(object, name);
    if (!value.is_number())
        return format_value(value);
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f%%", value.get<double>() * 100);
    return text.data();
}

std::string format_pairs(nlohmann::json const& object)
{
    std::string text;
    if (!object.is_object())
        return format_value(object);
    for (auto const& [key, value] : object.items())
        text += (text.empty() ? "" : " ") + key + "=" + format_value(value);
    return text;
}

std::string format_entries(nlohmann::json const& entries)
{
    text_table table({"ENTRY", "DATA CENTRE", "ADDRESS", "STATE", "GENERATION", "OPEN", "DISK"});
    for (auto const& row : entries)
        table.add({cell(row, "vm"), cell(row, "data_centre"), cell(row, "http"), cell(row, "state"),
                   cell(row, "generation"), cell(row, "open_requests"), cell(row, "has_disk")});
    return table.str();
}

std::string format_endpoints(nlohmann::json const& endpoints)
{
    text_table table({"ENDPOINT", "SERVICE", "VERSION", "VM", "DATA CENTRE", "STATE", "RUNNING",
                      "WAITING", "SLOTS"});
    for (auto const& row : endpoints)
    {
        auto const& load = field(row, "load");
        table.add({cell(row, "id"), cell(row, "service"), cell(row, "version"), cell(row, "vm"),
                   cell(row, "data_centre"), cell(row, "state"), cell(load, "running"),
                   cell(load, "waiting"), cell(load, "slots")});
    }
    return table.str();
}

} // namespace

std::string format_status(nlohmann::json const& body)
{
    text_table summary(
        {"VM", "READY", "QUORUM", "LEAVING", "LEADER", "TERM", "GENERATION", "INDEX"});
    summary.add({cell(body, "vm"), cell(body, "ready"), cell(body, "quorum_recent"),
                 cell(body, "leaving"), cell(body, "leader"), cell(body, "term"),
                 cell(body, "generation"), cell(body, "applied_index")});
    auto text = summary.str() + "\n" + format_entries(field(body, "entries")) + "\n" +
                format_endpoints(field(body, "endpoints"));
    text_table voters({"VOTER"});
    for (auto const& voter : field(body, "voters"))
        voters.add({format_pairs(voter)});
    text += "\n" + voters.str();
    text_table evacuations({"DATA CENTRE", "EVACUATED SINCE", "ENDED"});
    for (auto const& row : field(body, "evacuations"))
        evacuations.add(
            {cell(row, "data_centre"), time_cell(row, "started"), time_cell(row, "ended")});
    if (!evacuations.empty())
        text += "\n" + evacuations.str();
    text_table warnings({"WARNING"});
    for (auto const& warning : field(body, "warnings"))
        warnings.add({format_pairs(warning)});
    if (!warnings.empty())
        text += "\n" + warnings.str();
    return text;
}

std::string format_moves(nlohmann::json const& body)
{
    text_table table({"SERVICE", "FROM", "TO", "SHARE", "STATE", "STARTED", "FINISH BY", "ENDED",
                      "GENERATION", "REASON", "FIGURES"});
    for (auto const& row : field(body, "moves"))
        table.add({cell(row, "service"), cell(row, "from"), cell(row, "to"),
                   percent_cell(row, "share"), cell(row, "state"), time_cell(row, "started"),
                   time_cell(row, "finish_by"), time_cell(row, "ended"), cell(row, "generation"),
                   cell(row, "reason"), format_pairs(field(row, "figures"))});
    return table.empty() ? "no moves\n" : table.str();
}

std::string format_events(nlohmann::json const& body)
{
    text_table table({"WHEN", "VM", "LEVEL", "EVENT", "FIELDS"});
    for (auto const& row : field(body, "events"))
        table.add({cell(row, "when"), cell(row, "vm"), cell(row, "level"), cell(row, "name"),
                   format_pairs(field(row, "fields"))});
    auto text = table.empty() ? std::string("no events\n") : table.str();
    for (auto const& vm : field(body, "unreachable"))
        text += "unreachable: " + format_value(vm) + "\n";
    return text;
}

} // namespace lagoonladder::cli
