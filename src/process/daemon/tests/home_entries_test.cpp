#include <catch2/catch.hpp>

#include "home_entries.hpp"

using namespace lagoonladder;
using namespace lagoonladder::daemon;

TEST_CASE("callers of a host with home regions get entries there or in their own region")
{
    // Guards against callers that are sent to another region although a nearer entry may serve
    // them, and against an empty list.
    std::map<data_centre_id, region_id> const regions{{data_centre_id("hob-a"), region_id("tas")},
                                                      {data_centre_id("mel-a"), region_id("vic")},
                                                      {data_centre_id("syd-a"), region_id("nsw")}};
    std::vector<connection::entry_record> all(4);
    for (std::size_t i = 0; i < all.size(); ++i)
        all[i].data_centre = data_centre_id(i == 0   ? "hob-a"
                                            : i == 1 ? "mel-a"
                                            : i == 2 ? "syd-a"
                                                     : "unknown");
    auto const kept = [&](std::set<region_id> const& home_regions, char const* caller_region)
    {
        auto entries = all;
        keep_home_entries(home_regions, region_id(caller_region), regions, entries);
        return entries.size();
    };
    CHECK(kept({}, "tas") == 4);
    CHECK(kept({region_id("tas")}, "") == 1);
    CHECK(kept({region_id("tas")}, "vic") == 2);
    CHECK(kept({region_id("wa")}, "nt") == 4);
}
