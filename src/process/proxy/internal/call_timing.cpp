#include "call_timing.hpp"

#include <algorithm>

namespace lagoonladder::proxy
{

namespace
{

/// A plain call that takes this many times its objective is tried elsewhere.
constexpr int plain_patience_objectives = 3;
/// The first event of a stream may wait behind long prompts.
constexpr int first_event_patience_objectives = 4;
constexpr int gap_patience_objectives = 3;
constexpr duration least_stream_patience = seconds(2);
/// Urgency values of the engines; routes state theirs from 0 on.
constexpr std::uint32_t urgency_of_first_priority = 2;
constexpr std::uint32_t urgency_step = 2;
constexpr std::uint32_t last_urgency = 9;

} // namespace

duration patience_of(version::pass_through_route const& route, bool has_content)
{
    if (!route.is_stream)
        return plain_patience_objectives * route.latency_objective;
    auto const objectives = has_content ? gap_patience_objectives * route.gap_objective
                                        : first_event_patience_objectives * route.latency_objective;
    return std::max<duration>(least_stream_patience, objectives);
}

std::optional<std::uint32_t> urgency_of(version::pass_through_route const& route,
                                        version::pass_through_account const* account)
{
    if (!route.is_stream)
        return std::nullopt;
    auto const priority =
        account != nullptr && account->priority ? *account->priority : route.priority;
    return std::min(urgency_of_first_priority + urgency_step * priority, last_urgency);
}

} // namespace lagoonladder::proxy
