#ifndef LAGOONLADDER_PROXY_PLACEMENT_JSON_HPP
#define LAGOONLADDER_PROXY_PLACEMENT_JSON_HPP

#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include <lagoonladder/proxy/placement_query.hpp>

#include "call_admission.hpp"
#include "endpoint_chooser.hpp"

namespace lagoonladder::proxy
{

/// Returns why no route matches the query.
std::string describe_missing_route(version::service_index const& services,
                                   placement_query const& query);

/// Returns the state and the age of the entry's view.
nlohmann::json describe_view(time_point now, traffic_view const& view);

nlohmann::json describe_route(version::pass_through_route const& route,
                              std::optional<std::set<region_id>> const& regions);

/// `left` is the number of tokens that this entry has before the call.
nlohmann::json describe_quota(traffic_view const& view, call_admission const& admission,
                              double left);

/// Returns the outcome of the admission: served or refused, with the status and the reason.
nlohmann::json describe_refusal(call_admission const& admission);

nlohmann::json describe_load(request::service_load const& load);

/// Adds the row of one version to those of the service.
void merge_row(endpoint_explanation const& row, std::map<endpoint_id, endpoint_explanation>& rows);

/// Returns the rows in order of their chance.
nlohmann::json describe_rows(std::map<endpoint_id, endpoint_explanation> const& rows);

} // namespace lagoonladder::proxy

#endif
