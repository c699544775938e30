#include "traffic_model.hpp"

#include <algorithm>
#include <cmath>

namespace lagoonladder::version::study
{

namespace
{

constexpr int entries = 5;
constexpr double lost_reports = 0.03;
constexpr double late_reports = 0.06;

} // namespace

traffic_model::traffic_model(scenario const& drawn, random_source& source)
    : setup(drawn)
    , random(source)
{
}

std::vector<traffic_sample> traffic_model::run_second(int second, double share)
{
    // Load of both versions together drifts and has surges; each version has some of its own.
    this->common_noise = 0.95 * this->common_noise + 0.05 * draw_normal(this->random);
    auto const surge = this->random.unit() < 0.01 ? 1.5 : 1.0;
    condition const state[2] = {this->draw_condition(false, second, share),
                                this->draw_condition(true, second, share)};
    for (int entry = 0; entry < entries; ++entry)
    {
        std::vector<traffic_sample> report;
        for (auto const& route : this->setup.routes)
        {
            auto const rate = surge * this->setup.rate * route.weight / entries;
            for (int fresh = 0; fresh < 2; ++fresh)
            {
                auto const count =
                    draw_poisson(this->random, rate * (fresh == 1 ? share : 1 - share));
                if (count == 0)
                    continue;
                auto now = state[fresh];
                if (fresh == 1)
                    this->add_fault(now, route, second, share);
                traffic_sample sample;
                sample.service = service_name("s");
                sample.version = version_name(fresh == 1 ? "new" : "old");
                sample.route = route_name(route.name);
                for (std::uint32_t i = 0; i < count; ++i)
                    this->add_call(sample, route, now);
                this->sent_to_fresh += fresh == 1 ? count : 0;
                report.push_back(sample);
            }
        }
        auto const fate = this->random.unit();
        auto const late = fate < lost_reports + late_reports ? 1 + this->random.below(8) : 0;
        if (fate < lost_reports)
            continue;
        auto& due = this->arriving[second + static_cast<int>(late)];
        due.insert(due.end(), report.begin(), report.end());
    }
    return this->collect(second);
}

traffic_model::condition traffic_model::draw_condition(bool fresh, int second, double share)
{
    int const own = fresh ? 1 : 0;
    auto& noise = this->own_noise[own];
    noise = 0.9 * noise + this->setup.own_noise * draw_normal(this->random);
    condition now;
    now.failures = this->setup.failure_rate;
    now.slowdown = std::exp(this->common_noise + noise);
    auto const part = fresh ? share : 1 - share;
    auto const own_replicas = std::max(1.0, std::round(this->setup.replicas * part));
    if (this->random.unit() < this->setup.replica_losses * own_replicas / this->setup.replicas)
        this->loss_until[own] = second + 1 + static_cast<int>(this->random.below(2));
    // Calls on a lost replica fail until the entries have noticed.
    if (second < this->loss_until[own])
        now.failures += 0.5 / own_replicas;
    if (fresh)
        now.slowdown *= this->setup.slowdown *
                        (second < this->setup.cold_seconds + 8 ? this->setup.cold_slowdown : 1);
    return now;
}

void traffic_model::add_fault(condition& target, route_model const& route, int second,
                              double share) const
{
    auto const& fault = this->setup;
    bool const acts = fault.fault != fault_kind::none && second >= fault.fault_after &&
                      share >= fault.fault_share &&
                      (fault.fault_route.empty() || fault.fault_route == route.name);
    if (!acts)
        return;
    target.failures += fault.fault_failures;
    target.slowdown *= fault.fault_slowdown;
}

void traffic_model::add_call(traffic_sample& sample, route_model const& route, condition const& now)
{
    ++sample.requests;
    auto const latency = [&](double median)
    {
        return from_seconds(median * now.slowdown *
                            std::exp(route.spread * draw_normal(this->random)));
    };
    if (this->random.unit() < now.failures)
    {
        ++sample.failures;
        return;
    }
    sample.whole_call.add(latency(route.median));
    if (!this->setup.is_model_engine)
        return;
    sample.first_token.add(latency(0.25));
    auto const gap = latency(0.025);
    for (int token = 0; token < 8; ++token)
        sample.between_tokens.add(gap);
}

std::vector<traffic_sample> traffic_model::collect(int second)
{
    std::vector<traffic_sample> result;
    while (!this->arriving.empty() && this->arriving.begin()->first <= second)
    {
        auto const& list = this->arriving.begin()->second;
        result.insert(result.end(), list.begin(), list.end());
        this->arriving.erase(this->arriving.begin());
    }
    return result;
}

} // namespace lagoonladder::version::study
