#include "explanation_format.hpp"

#include <cstdio>

#include "text_table.hpp"

namespace lagoonladder::cli
{

namespace
{

using nlohmann::json;

json const& field(json const& object, char const* name)
{
    static json const missing;
    auto const found = object.is_object() ? object.find(name) : object.end();
    return object.is_object() && found != object.end() ? *found : missing;
}

std::string number(double value, int digits = 1)
{
    char text[64];
    std::snprintf(text, sizeof text, "%.*f", digits, value);
    return text;
}

/// Returns text without control characters; "-" for a missing value.
std::string show(json const& value, int digits = 1)
{
    if (value.is_null())
        return "-";
    if (value.is_number_float())
        return number(value.get<double>(), digits);
    auto text = value.is_string() ? value.get<std::string>()
                                  : value.dump(-1, ' ', false, json::error_handler_t::replace);
    for (auto& character : text)
    {
        if (static_cast<unsigned char>(character) < ' ' || character == 0x7f)
            character = '?';
    }
    return text;
}

std::string percent(json const& value)
{
    return value.is_number() ? number(100 * value.get<double>()) + "%" : "-";
}

std::string list(json const& values)
{
    std::string text;
    for (auto const& value : values)
        text += (text.empty() ? "" : ", ") + show(value);
    return text.empty() ? "-" : text;
}

std::string describe_outcome(json const& admission)
{
    auto text = show(field(admission, "outcome"));
    if (admission.contains("waits_for"))
        text += " for " + show(admission["waits_for"]);
    if (admission.contains("status"))
        text += ", status " + show(admission["status"]) + ", " + show(field(admission, "reason")) +
                ": " + show(field(admission, "detail"));
    if (admission.contains("retry_after_ms"))
        text += ", retry after " + show(admission["retry_after_ms"]) + " ms";
    for (auto const& [name, value] : field(admission, "capacity").items())
        text += ", " + name + " " + show(value);
    return text;
}

std::string describe_view(json const& view)
{
    auto text = "entry " + show(field(view, "vm")) + " in " + show(field(view, "data_centre")) +
                ", configuration " + show(field(view, "configuration")) + ", " +
                show(field(view, "entries")) + " entries";
    if (field(view, "ready") != true)
        text += "\nwarning: the control state has not been read through a quorum yet";
    else if (field(view, "is_outdated") == true)
        text += "\nwarning: the view may be out of date since " +
                show(field(view, "outdated_for_ms")) + " ms";
    return text + "\n";
}

std::string describe_quota(json const& quota)
{
    if (!quota.is_object())
        return "quota: none\n";
    return "quota: " + show(field(quota, "tokens_of_call")) + " tokens of the call, " +
           show(field(quota, "left_here")) + " left here, " + show(field(quota, "missing")) +
           " missing; " + show(field(quota, "tokens_per_second")) + "/s, held by " +
           list(field(quota, "held_by")) + "\n";
}

std::string format_endpoints(json const& rows)
{
    text_table table({"ENDPOINT", "CHANCE", "EXCLUDED BY", "STATE", "VERSION", "DATA CENTRE",
                      "LOAD", "SLOTS", "DEVIATION", "UNCACHED", "PREFILL MS", "COST MS",
                      "NO DATA"});
    for (auto const& row : rows)
        table.add({show(field(row, "id")), percent(field(row, "chance")),
                   show(field(row, "excluded_by")), show(field(row, "state")),
                   show(field(row, "version")), show(field(row, "data_centre")),
                   show(field(row, "load")), show(field(row, "slots")),
                   show(field(row, "time_deviation"), 2), show(field(row, "uncached_tokens"), 0),
                   show(field(row, "prefill_ms")), show(field(row, "cost_ms")),
                   list(field(row, "no_data"))});
    return table.empty() ? "no endpoints\n" : table.str();
}

std::string describe_service(json const& service)
{
    auto text = "\nservice " + show(field(service, "service")) + ", " +
                percent(field(service, "share")) + " of the calls\n";
    for (auto const& version : field(service, "versions"))
    {
        auto const name = show(field(version, "version"));
        text += "  " + (name.empty() ? "all calls" : "version " + name) + ", " +
                percent(field(version, "share")) + ": " + describe_outcome(version) + "\n";
    }
    if (field(service, "chances_are_sampled") == true)
        text += "  the chances are estimates from samples\n";
    return text + format_endpoints(field(service, "endpoints"));
}

} // namespace

std::string format_explanation(json const& answer)
{
    auto text = describe_view(field(answer, "view"));
    auto const& route = field(answer, "route");
    if (route.is_object())
        text += "route " + show(field(route, "name")) + ": " + show(field(route, "host")) +
                show(field(route, "path_prefix")) + ", " + show(field(route, "reason")) +
                "; regions " +
                (field(route, "regions").is_null() ? "all" : list(field(route, "regions"))) +
                "\naccount " + show(field(answer, "account")) + ", priority " +
                show(field(answer, "priority")) + "\n";
    if (answer.is_object() && answer.contains("quota"))
        text += describe_quota(answer["quota"]);
    if (answer.is_object() && answer.contains("admission"))
        text += "admission: " + describe_outcome(answer["admission"]) + "\n";
    for (auto const& service : field(answer, "services"))
        text += describe_service(service);
    return text;
}

} // namespace lagoonladder::cli
