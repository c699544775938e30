#include "call_timing.hpp"

#include <algorithm>

namespace lagoonladder::proxy
{

namespace
{

/// Multiple of the latency objective after which a plain call is sent to another endpoint.
constexpr int plain_timeout_factor = 3;
/// Multiple of the latency objective; larger, since the first event of a stream may wait until the
/// engine has processed long prompts of other calls.
constexpr int first_event_timeout_factor = 4;
/// Multiple of the objective for the gap between events.
constexpr int gap_timeout_factor = 3;
constexpr duration min_stream_timeout = seconds(2);
/// Priority that engines receive for priority 0 of a route or account; each lower priority adds a
/// step, up to the maximum.
constexpr std::uint32_t base_engine_priority = 2;
constexpr std::uint32_t engine_priority_step = 2;
constexpr std::uint32_t max_engine_priority = 9;

} // namespace

duration route_silence_timeout(version::pass_through_route const& route, bool has_content)
{
    if (!route.is_stream)
        return plain_timeout_factor * route.latency_objective;
    auto const timeout = has_content ? gap_timeout_factor * route.gap_objective
                                     : first_event_timeout_factor * route.latency_objective;
    return std::max<duration>(min_stream_timeout, timeout);
}

std::uint32_t effective_priority(version::pass_through_route const& route,
                                 version::pass_through_account const* account)
{
    return account != nullptr && account->priority ? *account->priority : route.priority;
}

std::optional<std::uint32_t> find_engine_priority(version::pass_through_route const& route,
                                                  version::pass_through_account const* account)
{
    if (!route.is_stream)
        return std::nullopt;
    auto const priority = effective_priority(route, account);
    return std::min(base_engine_priority + engine_priority_step * priority, max_engine_priority);
}

} // namespace lagoonladder::proxy
