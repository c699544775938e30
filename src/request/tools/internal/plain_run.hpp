#ifndef LAGOONLADDER_REQUEST_TOOLS_PLAIN_RUN_HPP
#define LAGOONLADDER_REQUEST_TOOLS_PLAIN_RUN_HPP

#include <string>
#include <vector>

#include "engine_model.hpp"
#include "sample_set.hpp"

namespace lagoonladder::study
{

struct plain_scenario
{
    std::string name;
    std::size_t entries = 25;
    double calls_per_second = 180;
    double min_speed = 1;
    double max_speed = 1;
    double slow_fraction = 0;
    /// Whether the endpoints state how long work takes now.
    bool is_time_stated = false;
};

/// Simulates calls of a plain service with four endpoints of six slots for 60 s. A call is work of
/// 30 to 60 ms. Returns the seconds that each call took.
class plain_run
{
public:
    plain_run(plain_scenario const& conditions, std::uint64_t seed);

    sample_set run();

private:
    /// An endpoint that runs calls in the order of their arrival, in its slots.
    struct endpoint
    {
        endpoint_id id;
        uneven_model differences;
        /// Times at which the slots become free.
        std::vector<time_point> slots;
    };

    struct entry_state
    {
        request::balanced_route_policy policy;
        request::load_estimate loads;
        request::endpoint_speed speeds;
    };

    struct answer
    {
        time_point arrives{};
        time_point sent_at{};
        std::size_t entry = 0;
        std::size_t endpoint = 0;
    };

    std::size_t open_calls(time_point when, std::size_t at) const;
    void deliver_answers();
    void deliver(answer const& arrived);
    void send(std::size_t entry);

    plain_scenario const scenario;
    seeded_random random;
    std::vector<endpoint> endpoints;
    std::vector<entry_state> entries;
    std::vector<answer> answers;
    std::uint64_t reports = 0;
    time_point now{};
    sample_set result;
};

} // namespace lagoonladder::study

#endif
