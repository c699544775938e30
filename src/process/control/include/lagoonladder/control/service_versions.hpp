#ifndef LAGOONLADDER_CONTROL_SERVICE_VERSIONS_HPP
#define LAGOONLADDER_CONTROL_SERVICE_VERSIONS_HPP

#include <map>
#include <set>

#include <lagoonladder/control/control_plane.hpp>

namespace lagoonladder::control
{

/// Versions of a service whose last move was reversed.
struct reversed_versions
{
    std::set<version_name> all;
    /// Those that were not shown to be worse than the version in service.
    std::set<version_name> undecided;
};

/// Returns the reversed versions of each service. The version in service is never among them.
std::map<service_name, reversed_versions>
find_reversed_versions(version::shared_state const& state);

/// Returns the version that all endpoints of a service state which serve it since before a time;
/// empty if there are none or they differ. Endpoints of a reversed version, and of one that a
/// running move brings traffic to, do not count.
version_name find_version_in_service(control_view const& view, service_name const& service,
                                     wall_time started_before);

/// Counts the endpoints of the version of a renewal.
version::renewal_endpoints count_renewal_endpoints(control_view const& view,
                                                   version::move_record const& renewal);

} // namespace lagoonladder::control

#endif
