#ifndef LAGOONLADDER_PROXY_HOME_REGIONS_HPP
#define LAGOONLADDER_PROXY_HOME_REGIONS_HPP

#include <lagoonladder/proxy/traffic_control.hpp>

namespace lagoonladder::proxy
{

/// Regions whose endpoints may serve a call; no value for all. An empty set permits none.
using permitted_regions = std::optional<std::set<region_id>>;

/// Returns the regions that both the route and the account permit. `account` is null for an
/// anonymous call.
permitted_regions find_regions(version::pass_through_route const& route,
                               version::pass_through_account const* account);

/// Returns whether the data centre lies in a permitted region. One whose region is not known lies
/// in none.
bool is_in_regions(traffic_view const& view, data_centre_id const& data_centre,
                   permitted_regions const& regions);

} // namespace lagoonladder::proxy

#endif
