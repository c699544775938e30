#include "scenario.hpp"

#include <cmath>
#include <numbers>

namespace lagoonladder::version::study
{

namespace
{

double draw_uniform(random_source& random, double min, double max)
{
    return min + (max - min) * random.unit();
}

void draw_service(scenario& drawn, random_source& random)
{
    bool const office = random.below(2) == 0;
    drawn.user = office ? "Permits Office" : "Foundry";
    drawn.is_model_engine = random.below(2) == 0;
    drawn.replicas = drawn.is_model_engine ? 9 : 4;
    if (drawn.is_model_engine && office)
        drawn.routes = {
            {"answers", 0.6, 2.0, 0.5}, {"quick", 0.3, 0.8, 0.4}, {"drafting", 0.1, 12.0, 0.7}};
    else if (drawn.is_model_engine)
        drawn.routes = {{"quotes", 0.5, 1.5, 0.5},
                        {"certificates", 0.35, 5.0, 0.6},
                        {"advice", 0.15, 3.0, 0.7}};
    else if (office)
        drawn.routes = {
            {"status", 0.7, 0.04, 0.5}, {"book", 0.2, 0.15, 0.5}, {"renew", 0.1, 0.2, 0.3}};
    else
        drawn.routes = {{"lookup", 0.6, 0.03, 0.3}, {"pour", 0.4, 0.25, 0.6}};
    drawn.rate = drawn.is_model_engine ? draw_uniform(random, 2, 12) : draw_uniform(random, 4, 40);
}

void draw_fault(scenario& drawn, random_source& random)
{
    auto const total_time = to_seconds(drawn.total_time);
    auto const failures = std::exp(draw_uniform(random, std::log(0.05), 0));
    auto const slowdown = draw_uniform(random, 1.8, 6);
    bool const fails = random.below(2) == 0;
    switch (drawn.fault)
    {
    case fault_kind::none:
        return;
    case fault_kind::failing_at_once:
        drawn.fault_failures = failures;
        return;
    case fault_kind::slow_at_once:
        drawn.fault_slowdown = slowdown;
        return;
    case fault_kind::failing_later:
        drawn.fault_failures = failures;
        drawn.fault_after = draw_uniform(random, 0.1, 0.85) * total_time;
        return;
    case fault_kind::bad_under_load:
        drawn.fault_share = draw_uniform(random, 0.2, 0.9);
        break;
    case fault_kind::bad_on_one_route:
        drawn.fault_route = drawn.routes[random.below(drawn.routes.size())].name;
        break;
    }
    if (fails)
        drawn.fault_failures = failures;
    else
        drawn.fault_slowdown = slowdown;
}

} // namespace

char const* fault_name(fault_kind kind)
{
    switch (kind)
    {
    case fault_kind::none:
        return "good";
    case fault_kind::failing_at_once:
        return "failing at once";
    case fault_kind::slow_at_once:
        return "slow at once";
    case fault_kind::failing_later:
        return "failing later";
    case fault_kind::bad_under_load:
        return "bad under load only";
    case fault_kind::bad_on_one_route:
        return "bad on one route only";
    }
    return "";
}

scenario draw_scenario(fault_kind fault, random_source& random)
{
    scenario drawn;
    draw_service(drawn, random);
    drawn.failure_rate = std::exp(draw_uniform(random, std::log(0.0005), std::log(0.02)));
    drawn.replica_losses = draw_uniform(random, 0, 0.004);
    drawn.total_time = seconds(300 + random.below(901));
    drawn.watch = seconds(60 + random.below(241));
    drawn.slowdown = draw_uniform(random, 0.8, 1.1);
    if (random.below(3) == 0)
    {
        drawn.startup_slowdown = draw_uniform(random, 1, 2);
        drawn.startup_seconds = draw_uniform(random, 5, 30);
    }
    if (random.below(10) < 3)
    {
        drawn.leader_change = draw_uniform(random, 0.05, 0.95) * to_seconds(drawn.total_time);
        drawn.leader_gap = draw_uniform(random, 1, 6);
    }
    drawn.fault = fault;
    draw_fault(drawn, random);
    return drawn;
}

double draw_normal(random_source& random)
{
    auto const radius = std::sqrt(-2 * std::log(1 - random.unit()));
    return radius * std::cos(2 * std::numbers::pi * random.unit());
}

std::uint32_t draw_poisson(random_source& random, double mean)
{
    auto const limit = std::exp(-mean);
    std::uint32_t count = 0;
    for (auto product = random.unit(); product > limit; product *= random.unit())
        ++count;
    return count;
}

} // namespace lagoonladder::version::study
