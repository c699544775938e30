#include <lagoonladder/request/route_choice.hpp>

#include <algorithm>

namespace lagoonladder::request
{

std::vector<route_chance>
balanced_route_policy::chances(time_point now, std::vector<route_candidate> const& candidates,
                               route_query const& query) const
{
    // A choice adds candidates that it sees for the first time.
    auto updated = *this;
    updated.update_endpoints(now, candidates);
    std::vector<route_chance> results;
    results.reserve(candidates.size());
    std::map<endpoint_id, route_chance*> by_id;
    for (auto const& candidate : candidates)
    {
        results.push_back({candidate.endpoint_id, 0, true, true});
        by_id[candidate.endpoint_id] = &results.back();
    }
    auto const all = updated.find_eligible(now, candidates, query);
    if (all.empty())
        return results;
    for (auto const& rated : all)
        by_id.at(rated.candidate->endpoint_id)->is_failing = false;
    auto const bounded = updated.within_bound(all);
    for (auto const& rated : bounded)
        by_id.at(rated.candidate->endpoint_id)->is_over_bound = false;
    add_chances(updated.select_affinity_group(bounded, query), by_id);
    return results;
}

void balanced_route_policy::add_chances(rated_list const& group,
                                        std::map<endpoint_id, route_chance*> const& results)
{
    auto const find = [&](rated_candidate const& rated) -> double&
    { return results.at(rated.candidate->endpoint_id)->chance; };
    if (group.size() == 1)
    {
        find(group.front()) = 1;
        return;
    }
    std::vector<double> sums(group.size());
    auto const pairs = static_cast<double>(group.size() * (group.size() - 1));
    for (std::size_t first = 0; first < group.size(); ++first)
    {
        for (std::size_t second = 0; second < group.size(); ++second)
        {
            if (first == second)
                continue;
            bool const is_swapped = is_second_better(group[first], group[second]);
            auto const better = is_swapped ? second : first;
            auto const other = is_swapped ? first : second;
            auto const share = std::min(1.0, group[better].share);
            sums[better] += share / pairs;
            sums[other] += (1 - share) / pairs;
        }
    }
    for (std::size_t i = 0; i < group.size(); ++i)
        find(group[i]) = sums[i];
}

} // namespace lagoonladder::request
