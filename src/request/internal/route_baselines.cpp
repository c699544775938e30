#include <lagoonladder/request/route_choice.hpp>

#include <algorithm>

namespace lagoonladder::request
{

namespace
{

std::vector<route_candidate const*>
usable_candidates(std::vector<route_candidate> const& candidates, route_query const& query)
{
    std::vector<route_candidate const*> usable;
    for (auto const& candidate : candidates)
    {
        auto const& excluded = query.excluded;
        auto const is_excluded =
            std::find(excluded.begin(), excluded.end(), candidate.endpoint_id) != excluded.end();
        if (!candidate.leaving && !is_excluded)
            usable.push_back(&candidate);
    }
    return usable;
}

} // namespace

std::optional<endpoint_id>
round_robin_route_policy::choose(time_point, std::vector<route_candidate> const& candidates,
                                 route_query const& query, random_source&)
{
    auto const all = usable_candidates(candidates, query);
    if (all.empty())
        return std::nullopt;
    return all[this->turn++ % all.size()]->endpoint_id;
}

std::optional<endpoint_id>
least_load_route_policy::choose(time_point, std::vector<route_candidate> const& candidates,
                                route_query const& query, random_source&)
{
    auto const all = usable_candidates(candidates, query);
    auto const load_per_slot = [](route_candidate const* candidate)
    { return candidate->load / std::max<std::uint32_t>(1, candidate->slots); };
    auto const best = std::min_element(all.begin(), all.end(),
                                       [&](auto* left, auto* right)
                                       { return load_per_slot(left) < load_per_slot(right); });
    if (best == all.end())
        return std::nullopt;
    return (*best)->endpoint_id;
}

} // namespace lagoonladder::request
