#ifndef LAGOONLADDER_PROXY_CALL_TIMING_HPP
#define LAGOONLADDER_PROXY_CALL_TIMING_HPP

#include <cstdint>
#include <optional>

#include <lagoonladder/version.hpp>

namespace lagoonladder::proxy
{

/// Time without a byte after which a call that may be repeated is tried elsewhere.
duration patience_of(version::pass_through_route const& route, bool has_content);

/// Urgency that engines give the call; no value for other endpoints. `account` may be null.
std::optional<std::uint32_t> urgency_of(version::pass_through_route const& route,
                                        version::pass_through_account const* account);

} // namespace lagoonladder::proxy

#endif
