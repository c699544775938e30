#include <catch2/catch.hpp>

#include <map>

#include "test_records.hpp"

using namespace lagoonladder;
using namespace lagoonladder::connection;

namespace
{

std::vector<entry_record> make_entries(std::map<std::string, int> const& entry_counts_by_zone)
{
    std::vector<entry_record> entries;
    for (auto const& [zone, count] : entry_counts_by_zone)
    {
        for (int i = 0; i < count; ++i)
        {
            entries.push_back(make_entry("vm-" + zone + "-" + std::to_string(i), zone));
            entries.back().zone = zone_id(zone);
        }
    }
    return entries;
}

/// Returns the load of each entry when each zone has the same load of callers, 1, which spread it
/// evenly over the entries of their list.
std::map<vm_id, double> load_by_entry(std::vector<entry_record> const& entries,
                                      std::map<std::string, int> const& entry_counts_by_zone,
                                      std::size_t max_entries)
{
    std::map<vm_id, double> load;
    for (auto const& [zone, count] : entry_counts_by_zone)
    {
        auto const list = entries_for_callers(entries, zone_id(zone), max_entries);
        for (auto const& entry : list)
            load[entry.vm] += 1.0 / static_cast<double>(list.size());
    }
    return load;
}

} // namespace

TEST_CASE("callers of a large system are spread over all entries")
{
    // Guards against callers that use only the first entries of a long list: those run out of
    // processor time while the others are idle.
    for (auto const& zones : std::vector<std::map<std::string, int>>{
             {{"a", 19}, {"b", 22}, {"c", 24}, {"d", 21}},
             {{"a", 19}, {"b", 18}, {"c", 18}, {"d", 18}, {"e", 18}},
             {{"a", 30}, {"b", 30}, {"c", 30}, {"d", 30}, {"e", 30}, {"f", 30}, {"g", 30}}})
    {
        auto const entries = make_entries(zones);
        auto const load = load_by_entry(entries, zones, 64);
        CHECK(load.size() == entries.size());
        auto const mean = static_cast<double>(zones.size()) / static_cast<double>(entries.size());
        for (auto const& [vm, received_share] : load)
        {
            INFO(vm.value());
            CHECK(received_share > 0.5 * mean);
            CHECK(received_share < 1.6 * mean);
        }
    }
}

TEST_CASE("callers get the entries of their own zone first")
{
    // Guards against requests that cross zones although entries of the caller's zone exist.
    auto const entries = make_entries({{"a", 40}, {"b", 40}, {"c", 40}});
    auto const list = entries_for_callers(entries, zone_id("b"), 64);
    REQUIRE(list.size() == 64);
    for (std::size_t i = 0; i < 40; ++i)
        CHECK(list[i].zone == zone_id("b"));
    CHECK(entries_for_callers(entries, zone_id("b"), 10).size() == 10);
}

TEST_CASE("removing an entry changes few addresses of a list")
{
    // Guards against callers that drop their connections whenever any entry is added or removed.
    auto entries = make_entries({{"a", 30}, {"b", 30}, {"c", 30}});
    auto const before = entries_for_callers(entries, zone_id("a"), 64);
    entries.erase(entries.begin() + 45);
    auto const after = entries_for_callers(entries, zone_id("a"), 64);
    std::size_t kept = 0;
    for (auto const& entry : before)
    {
        for (auto const& other : after)
            kept += entry.vm == other.vm ? 1 : 0;
    }
    CHECK(kept >= 62);
}

TEST_CASE("all entries of a small system are listed, also for callers of an unknown zone")
{
    // Guards against an empty or shortened list for a caller whose zone has no entry.
    auto const entries = make_entries({{"a", 5}, {"b", 5}});
    CHECK(entries_for_callers(entries, zone_id("a"), 64).size() == 10);
    CHECK(entries_for_callers(entries, zone_id("elsewhere"), 64).size() == 10);
    CHECK(entries_for_callers(make_entries({{"a", 50}, {"b", 50}}), zone_id("x"), 64).size() == 64);
}
