#include "home_entries.hpp"

#include <algorithm>

namespace lagoonladder::daemon
{

void keep_home_entries(std::set<region_id> home_regions, region_id const& caller_region,
                       std::map<data_centre_id, region_id> const& regions,
                       std::vector<connection::entry_record>& entries)
{
    if (home_regions.empty())
        return;
    if (!caller_region.value().empty())
        home_regions.insert(caller_region);
    auto const is_outside = [&](connection::entry_record const& entry)
    {
        auto const found = regions.find(entry.data_centre);
        return found == regions.end() || !home_regions.contains(found->second);
    };
    if (!std::all_of(entries.begin(), entries.end(), is_outside))
        std::erase_if(entries, is_outside);
}

} // namespace lagoonladder::daemon
