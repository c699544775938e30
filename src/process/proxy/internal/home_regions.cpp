#include "home_regions.hpp"

#include <algorithm>

namespace lagoonladder::proxy
{

permitted_regions find_regions(version::pass_through_route const& route,
                               version::pass_through_account const* account)
{
    bool const has_account_regions = account != nullptr && !account->regions.empty();
    if (route.regions.empty() && !has_account_regions)
        return std::nullopt;
    auto const& first = route.regions.empty() ? account->regions : route.regions;
    std::set<region_id> regions(first.begin(), first.end());
    if (has_account_regions)
        std::erase_if(regions,
                      [&](region_id const& region)
                      {
                          auto const& others = account->regions;
                          return std::find(others.begin(), others.end(), region) == others.end();
                      });
    return regions;
}

bool is_in_regions(traffic_view const& view, data_centre_id const& data_centre,
                   permitted_regions const& regions)
{
    if (!regions)
        return true;
    auto const found = view.regions.find(data_centre);
    return found != view.regions.end() && regions->contains(found->second);
}

} // namespace lagoonladder::proxy
