#ifndef LAGOONLADDER_VERSION_RENEWAL_HPP
#define LAGOONLADDER_VERSION_RENEWAL_HPP

#include <optional>

#include <lagoonladder/version/control_state.hpp>

namespace lagoonladder::version
{

/// Serving endpoints of the version of a renewal, by when they started.
struct renewal_endpoints
{
    /// Started before the order. They stop when the renewal has finished.
    std::size_t earlier = 0;
    /// Started after the order. They leave when the renewal is reversed.
    std::size_t later = 0;
};

/// Returns the update that ends a running renewal; no value while it goes on.
///
/// A renewal finishes when as many endpoints have started as were there before, so that the service
/// keeps its capacity. Without them it is reversed shortly before `finish_by`, and the earlier
/// endpoints go on.
std::optional<update_move> decide_renewal(wall_time now, move_record const& record,
                                          renewal_endpoints const& endpoints);

} // namespace lagoonladder::version

#endif
