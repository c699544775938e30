#include "measurement.hpp"
#include "rows.hpp"
#include "sections.hpp"

namespace lagoonladder::capacity
{

namespace
{

/// Prints the growth of the resident size since `before`.
void print_growth(char const* name, std::string const& size, std::uint64_t before)
{
    auto const after = resident_kib();
    print_figure(name, size,
                 {{"before_kib", static_cast<double>(before)},
                  {"after_kib", static_cast<double>(after)},
                  {"growth_kib", static_cast<double>(after) - static_cast<double>(before)}});
}

void measure_prefixes()
{
    constexpr std::size_t endpoints = 1900;
    constexpr std::size_t blocks = 256;
    seeded_random random(4);
    auto const before = resident_kib();
    request::prefix_index index;
    for (std::size_t i = 0; i < endpoints; ++i)
    {
        std::vector<std::uint64_t> hashes(blocks);
        for (auto& hash : hashes)
            hash = random.next();
        index.routed(start_time(), make_endpoint(i).id, hashes);
    }
    print_growth("memory.prefix_index", "1900 endpoints x 256", before);
}

void measure_directories()
{
    auto before = resident_kib();
    connection::entry_directory entries(make_entry(0));
    for (std::size_t i = 1; i < 350; ++i)
        entries.merge(start_time(), make_entry(i));
    print_growth("memory.entries", "350", before);
    before = resident_kib();
    connection::endpoint_directory endpoints;
    for (std::size_t i = 0; i < 1900; ++i)
        endpoints.merge(start_time(), make_endpoint(i));
    print_growth("memory.endpoints", "1900", before);
}

void measure_route_state()
{
    auto const before = resident_kib();
    seeded_random random(5);
    request::balanced_route_policy policy;
    request::load_estimate estimate;
    std::vector<request::route_candidate> candidates;
    for (std::size_t i = 0; i < 1900; ++i)
    {
        candidates.push_back(make_candidate(i, random));
        estimate.report(start_time(), candidates.back().endpoint_id, 1, 12, 3);
    }
    policy.choose(start_time(), candidates, {}, random);
    print_growth("memory.route_state", "1900", before);
}

} // namespace

void measure_memory()
{
    print_figure("memory.program", "start", {{"kib", static_cast<double>(resident_kib())}});
    measure_directories();
    measure_route_state();
    measure_prefixes();
}

} // namespace lagoonladder::capacity
