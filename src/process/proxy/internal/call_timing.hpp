#ifndef LAGOONLADDER_PROXY_CALL_TIMING_HPP
#define LAGOONLADDER_PROXY_CALL_TIMING_HPP

#include <cstdint>
#include <optional>

#include <lagoonladder/version.hpp>

namespace lagoonladder::proxy
{

/// Returns the time without a byte after which a call that may be repeated is sent to another
/// endpoint. `has_content` says whether the response has had content already.
duration route_silence_timeout(version::pass_through_route const& route, bool has_content);

/// Returns the priority of the call, 0 being the most urgent: the account's, otherwise the route's.
/// `account` may be null.
std::uint32_t effective_priority(version::pass_through_route const& route,
                                 version::pass_through_account const* account);

/// Returns the priority of the call for model engines, 0 being the most urgent; no value for other
/// endpoints. `account` may be null.
std::optional<std::uint32_t> find_engine_priority(version::pass_through_route const& route,
                                                  version::pass_through_account const* account);

} // namespace lagoonladder::proxy

#endif
