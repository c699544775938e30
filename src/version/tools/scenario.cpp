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

void draw_service(scenario& result, random_source& random)
{
    bool const is_office = random.below(2) == 0;
    result.user = is_office ? "Permits Office" : "Foundry";
    result.is_model_engine = random.below(2) == 0;
    result.replicas = result.is_model_engine ? 9 : 4;
    if (result.is_model_engine && is_office)
        result.routes = {
            {"answers", 0.6, 2.0, 0.5}, {"quick", 0.3, 0.8, 0.4}, {"drafting", 0.1, 12.0, 0.7}};
    else if (result.is_model_engine)
        result.routes = {{"quotes", 0.5, 1.5, 0.5},
                         {"certificates", 0.35, 5.0, 0.6},
                         {"advice", 0.15, 3.0, 0.7}};
    else if (is_office)
        result.routes = {
            {"status", 0.7, 0.04, 0.5}, {"book", 0.2, 0.15, 0.5}, {"renew", 0.1, 0.2, 0.3}};
    else
        result.routes = {{"lookup", 0.6, 0.03, 0.3}, {"pour", 0.4, 0.25, 0.6}};
    result.rate =
        result.is_model_engine ? draw_uniform(random, 2, 12) : draw_uniform(random, 4, 40);
}

void draw_fault(scenario& result, random_source& random)
{
    auto const total_time = to_seconds(result.total_time);
    auto const failures = std::exp(draw_uniform(random, std::log(0.05), 0));
    auto const slowdown = draw_uniform(random, 1.8, 6);
    bool const is_failing = random.below(2) == 0;
    switch (result.fault)
    {
    case fault_kind::none:
        return;
    case fault_kind::failing_at_once:
        result.fault_failures = failures;
        return;
    case fault_kind::slow_at_once:
        result.fault_slowdown = slowdown;
        return;
    case fault_kind::failing_later:
        result.fault_failures = failures;
        result.fault_after = draw_uniform(random, 0.1, 0.85) * total_time;
        return;
    case fault_kind::bad_under_load:
        result.fault_share = draw_uniform(random, 0.2, 0.9);
        break;
    case fault_kind::bad_on_one_route:
        result.fault_route = result.routes[random.below(result.routes.size())].name;
        break;
    }
    if (is_failing)
        result.fault_failures = failures;
    else
        result.fault_slowdown = slowdown;
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
    scenario result;
    draw_service(result, random);
    result.failure_rate = std::exp(draw_uniform(random, std::log(0.0005), std::log(0.02)));
    result.replica_losses = draw_uniform(random, 0, 0.004);
    result.total_time = seconds(300 + random.below(901));
    result.watch = seconds(60 + random.below(241));
    result.slowdown = draw_uniform(random, 0.8, 1.1);
    if (random.below(3) == 0)
    {
        result.startup_slowdown = draw_uniform(random, 1, 2);
        result.startup_seconds = draw_uniform(random, 5, 30);
    }
    if (random.below(10) < 3)
    {
        result.leader_change = draw_uniform(random, 0.05, 0.95) * to_seconds(result.total_time);
        result.leader_gap = draw_uniform(random, 1, 6);
    }
    result.fault = fault;
    draw_fault(result, random);
    return result;
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
