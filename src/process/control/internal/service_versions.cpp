#include <lagoonladder/control/service_versions.hpp>

#include <algorithm>

namespace lagoonladder::control
{

namespace
{

/// Returns the endpoints of a service that serve.
std::vector<connection::endpoint_record const*> serving_endpoints(control_view const& view,
                                                                  service_name const& service)
{
    std::vector<connection::endpoint_record const*> serving;
    auto const found = view.endpoints.find(service);
    if (found == view.endpoints.end())
        return serving;
    for (auto const& endpoint : found->second)
    {
        if (endpoint.state == connection::endpoint_state::serving)
            serving.push_back(&endpoint);
    }
    return serving;
}

/// Endpoints of pass-through services state their start time, in milliseconds since 1970, as their
/// incarnation.
wall_time start_time(connection::endpoint_record const& endpoint)
{
    return wall_time(milliseconds(endpoint.incarnation.value()));
}

bool states_start_time(connection::endpoint_record const& endpoint)
{
    return endpoint.incarnation.value() > 0;
}

} // namespace

std::map<service_name, reversed_versions> find_reversed_versions(version::shared_state const& state)
{
    std::map<service_name, reversed_versions> reversed;
    // Only the latest move to a version counts. Endpoints of a reversed version may still serve
    // during later moves.
    for (auto const& move : state.moves)
    {
        auto& versions = reversed[move.service];
        versions.all.erase(move.to);
        versions.undecided.erase(move.to);
        if (move.state != version::move_state::reversed || version::is_renewal(move))
            continue;
        versions.all.insert(move.to);
        if (!move.is_shown_worse)
            versions.undecided.insert(move.to);
    }
    for (auto const& [service, split] : state.splits)
    {
        auto const found = reversed.find(service);
        if (found == reversed.end())
            continue;
        found->second.all.erase(split.stable);
        found->second.undecided.erase(split.stable);
    }
    std::erase_if(reversed, [](auto const& item) { return item.second.all.empty(); });
    return reversed;
}

version_name find_version_in_service(control_view const& view, service_name const& service,
                                     wall_time started_before)
{
    if (!view.shared)
        return {};
    auto const reversed = find_reversed_versions(*view.shared);
    auto const reversed_here = reversed.find(service);
    auto const split = view.shared->splits.find(service);
    std::set<version_name> versions;
    for (auto const* endpoint : serving_endpoints(view, service))
    {
        bool const is_old = states_start_time(*endpoint) && start_time(*endpoint) < started_before;
        bool const is_reversed = reversed_here != reversed.end() &&
                                 reversed_here->second.all.contains(endpoint->version);
        bool const is_candidate =
            split != view.shared->splits.end() && split->second.candidate == endpoint->version;
        if (is_old && !is_reversed && !is_candidate)
            versions.insert(endpoint->version);
    }
    return versions.size() == 1 ? *versions.begin() : version_name();
}

version::renewal_endpoints count_renewal_endpoints(control_view const& view,
                                                   version::move_record const& renewal)
{
    version::renewal_endpoints counts;
    for (auto const* endpoint : serving_endpoints(view, renewal.service))
    {
        if (endpoint->version != renewal.to)
            continue;
        bool const is_later = start_time(*endpoint) > renewal.started;
        ++(is_later ? counts.later : counts.earlier);
    }
    return counts;
}

} // namespace lagoonladder::control
