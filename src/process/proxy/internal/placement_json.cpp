#include "placement_json.hpp"

#include <algorithm>

namespace lagoonladder::proxy
{

namespace
{

double to_milliseconds(duration value)
{
    return to_seconds(value) * 1000;
}

nlohmann::json describe_row(endpoint_explanation const& row)
{
    auto const& endpoint = *row.endpoint;
    bool const is_leaving = endpoint.state == connection::endpoint_state::leaving;
    nlohmann::json out{{"id", endpoint.id},
                       {"address", endpoint.address},
                       {"state", is_leaving ? "leaving" : "serving"},
                       {"version", endpoint.version},
                       {"data_centre", endpoint.data_centre},
                       {"chance", row.chance},
                       {"load", row.load},
                       {"slots", endpoint.load.slots},
                       {"time_deviation", row.time_deviation},
                       {"uncached_tokens", row.uncached_tokens},
                       {"prefill_ms", to_milliseconds(row.prefill_time)}};
    out["excluded_by"] =
        row.rule == exclusion::none ? nlohmann::json() : nlohmann::json(to_string(row.rule));
    out["cost_ms"] = row.cost ? nlohmann::json(to_milliseconds(*row.cost)) : nlohmann::json();
    if (row.time_until_room > duration(0))
        out["room_in_ms"] = to_milliseconds(row.time_until_room);
    out["no_data"] = nlohmann::json::array();
    if (!row.has_load_report)
        out["no_data"].push_back("load");
    if (!row.has_stated_time)
        out["no_data"].push_back("time_deviation");
    if (!row.has_known_prompts)
        out["no_data"].push_back("prompts");
    return out;
}

} // namespace

std::string describe_missing_route(version::service_index const& services,
                                   placement_query const& query)
{
    std::string prefixes;
    for (auto const& route : services.map().routes)
    {
        if (route.host == query.host)
            prefixes += (prefixes.empty() ? "" : ", ") + route.path_prefix;
    }
    if (prefixes.empty())
        return "no route has the host \"" + query.host + "\"";
    return "no route of the host \"" + query.host + "\" has a prefix of the path \"" + query.path +
           "\"; its prefixes are " + prefixes;
}

nlohmann::json describe_view(time_point now, traffic_view const& view)
{
    nlohmann::json out{{"vm", view.vm},
                       {"data_centre", view.data_centre},
                       {"ready", view.is_ready},
                       {"leaving", view.is_leaving},
                       {"entries", view.entries},
                       {"configuration", view.services ? view.services->map().number : 0},
                       {"is_outdated", is_configuration_outdated(now, view)}};
    // Time since the last confirmation by a quorum expired.
    out["outdated_for_ms"] = view.is_ready && is_configuration_outdated(now, view)
                                 ? to_milliseconds(now - view.configuration_expiry)
                                 : 0;
    return out;
}

nlohmann::json describe_route(version::pass_through_route const& route,
                              std::optional<std::set<region_id>> const& regions)
{
    nlohmann::json out{{"name", route.name},
                       {"host", route.host},
                       {"path_prefix", route.path_prefix},
                       {"reason", "longest path prefix of the host's routes that the path has"},
                       {"timeout_ms", to_milliseconds(route.timeout)},
                       {"latency_objective_ms", to_milliseconds(route.latency_objective)},
                       {"has_prefix_affinity", route.has_prefix_affinity}};
    out["regions"] = nullptr;
    if (regions)
    {
        out["regions"] = nlohmann::json::array();
        for (auto const& region : *regions)
            out["regions"].push_back(region);
    }
    return out;
}

nlohmann::json describe_quota(traffic_view const& view, call_admission const& admission,
                              double left)
{
    auto const& quota = *admission.account->quota;
    nlohmann::json out{{"tokens_per_second", quota.tokens_per_second},
                       {"burst", quota.burst},
                       {"tokens_of_call", admission.quota_tokens},
                       {"left_here", left},
                       {"missing", admission.shortage.missing}};
    auto const holders = quota_holders(view, admission.account->name);
    out["held_by"] = nlohmann::json::array();
    for (auto const& holder : holders)
        out["held_by"].push_back(holder.vm);
    // Without holders, each serving entry has an equal portion.
    if (holders.empty())
    {
        for (auto const& entry : view.serving)
            out["held_by"].push_back(entry.vm);
    }
    return out;
}

nlohmann::json describe_refusal(call_admission const& admission)
{
    bool const is_served = admission.reason == refusal::none;
    nlohmann::json out{{"outcome", is_served ? "served" : "refused"},
                       {"reason", to_string(admission.reason)}};
    if (is_served)
        return out;
    auto const status = status_of(admission.reason);
    out["status"] = status;
    out["detail"] = describe(admission.reason);
    if ((status == 429 || status == 503) && admission.retry_after > duration(0))
        out["retry_after_ms"] = to_milliseconds(admission.retry_after);
    return out;
}

nlohmann::json describe_load(request::service_load const& load)
{
    return {{"slots", load.slots},
            {"running", load.running},
            {"waiting", load.waiting},
            {"wait_ms", to_milliseconds(load.wait)}};
}

void merge_row(endpoint_explanation const& row, std::map<endpoint_id, endpoint_explanation>& rows)
{
    auto const [position, is_new] = rows.emplace(row.endpoint->id, row);
    if (is_new)
        return;
    auto& merged = position->second;
    auto const chance = merged.chance + row.chance;
    // Another rule says more than that the call is assigned to the other version.
    if (merged.chance <= 0 && row.rule != exclusion::other_version)
        merged = row;
    merged.chance = chance;
}

nlohmann::json describe_rows(std::map<endpoint_id, endpoint_explanation> const& rows)
{
    std::vector<endpoint_explanation const*> ordered;
    for (auto const& [id, row] : rows)
        ordered.push_back(&row);
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](auto const* left, auto const* right)
                     { return left->chance > right->chance; });
    auto out = nlohmann::json::array();
    for (auto const* row : ordered)
        out.push_back(describe_row(*row));
    return out;
}

} // namespace lagoonladder::proxy
