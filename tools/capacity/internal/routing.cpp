#include "measurement.hpp"
#include "rows.hpp"
#include "sections.hpp"

namespace lagoonladder::capacity
{

namespace
{

/// Measures the preparation of the candidates before each choice: the entry stores load
/// reports, estimates loads and matches a prompt of 1 KiB with the cached prefixes.
void measure_inputs(std::vector<request::route_candidate> const& candidates)
{
    request::load_estimate load;
    request::prefix_index prefixes;
    auto const blocks = request::prefix_blocks(std::string(1024, 'p'));
    for (auto const& candidate : candidates)
        prefixes.routed(start_time(), candidate.endpoint_id, blocks);
    // The volatile sum keeps the compiler from optimising the calls away.
    double volatile sum = 0;
    auto const time = median_microseconds(
        9, 100000 / candidates.size(),
        [&]
        {
            for (auto const& candidate : candidates)
            {
                load.report(start_time(), candidate.endpoint_id, 1, 12, 3);
                sum = sum + load.estimate(start_time(), candidate.endpoint_id);
                sum = sum + prefixes.match(start_time(), candidate.endpoint_id, blocks);
            }
        });
    print_figure("route.inputs", std::to_string(candidates.size()) + " candidates", {{"us", time}});
}

} // namespace

void measure_routing()
{
    for (std::size_t const count : {32, 256, 1900})
    {
        seeded_random random(1);
        request::balanced_route_policy policy;
        std::vector<request::route_candidate> candidates;
        for (std::size_t i = 0; i < count; ++i)
            candidates.push_back(make_candidate(i, random));
        request::route_query query;
        query.data_centre = candidates.front().data_centre;
        query.prefix_hash = 7;
        auto const time = median_microseconds(
            9, 100000 / count,
            [&] { policy.choose(start_time() + seconds(60), candidates, query, random); });
        print_figure("route.choose", std::to_string(count) + " candidates", {{"us", time}});
        measure_inputs(candidates);
    }
}

} // namespace lagoonladder::capacity
