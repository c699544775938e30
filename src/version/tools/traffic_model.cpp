#include "traffic_model.hpp"

#include <algorithm>
#include <cmath>

namespace lagoonladder::version::study
{

namespace
{

constexpr int entry_count = 5;
constexpr double lost_report_probability = 0.03;
constexpr double late_report_probability = 0.06;

} // namespace

traffic_model::traffic_model(scenario const& scenario_of_run, random_source& source)
    : settings(scenario_of_run)
    , random(source)
{
}

std::vector<traffic_sample> traffic_model::run_second(int second, double share)
{
    // The latency of both versions drifts together, and that of each version also on its own.
    // The load has short surges.
    this->common_noise = 0.95 * this->common_noise + 0.05 * draw_normal(this->random);
    auto const surge = this->random.unit() < 0.01 ? 1.5 : 1.0;
    // Index 0 is the old version, 1 the new one.
    version_condition const conditions[2] = {this->draw_condition(false, second, share),
                                             this->draw_condition(true, second, share)};
    for (int entry = 0; entry < entry_count; ++entry)
    {
        std::vector<traffic_sample> report;
        for (auto const& route : this->settings.routes)
        {
            auto const rate = surge * this->settings.rate * route.weight / entry_count;
            for (int version_index = 0; version_index < 2; ++version_index)
            {
                auto const count =
                    draw_poisson(this->random, rate * (version_index == 1 ? share : 1 - share));
                if (count == 0)
                    continue;
                auto condition = conditions[version_index];
                if (version_index == 1)
                    this->add_fault(condition, route, second, share);
                traffic_sample sample;
                sample.service = service_name("s");
                sample.version = version_name(version_index == 1 ? "new" : "old");
                sample.route = route_name(route.name);
                for (std::uint32_t i = 0; i < count; ++i)
                    this->add_call(sample, route, condition);
                this->sent_to_candidate += version_index == 1 ? count : 0;
                report.push_back(sample);
            }
        }
        auto const delivery_draw = this->random.unit();
        auto const delay = delivery_draw < lost_report_probability + late_report_probability
                               ? 1 + this->random.below(8)
                               : 0;
        if (delivery_draw < lost_report_probability)
            continue;
        auto& reports = this->pending_reports[second + static_cast<int>(delay)];
        reports.insert(reports.end(), report.begin(), report.end());
    }
    return this->take_arrived_samples(second);
}

traffic_model::version_condition traffic_model::draw_condition(bool is_candidate, int second,
                                                               double share)
{
    int const index = is_candidate ? 1 : 0;
    auto& noise = this->own_noise[index];
    noise = 0.9 * noise + this->settings.own_noise * draw_normal(this->random);
    version_condition condition;
    condition.failures = this->settings.failure_rate;
    condition.slowdown = std::exp(this->common_noise + noise);
    auto const own_share = is_candidate ? share : 1 - share;
    auto const own_replicas = std::max(1.0, std::round(this->settings.replicas * own_share));
    if (this->random.unit() <
        this->settings.replica_losses * own_replicas / this->settings.replicas)
        this->replica_loss_until[index] = second + 1 + static_cast<int>(this->random.below(2));
    // Calls to a lost replica fail until the entries have detected the loss.
    if (second < this->replica_loss_until[index])
        condition.failures += 0.5 / own_replicas;
    if (is_candidate)
        condition.slowdown *=
            this->settings.slowdown *
            (second < this->settings.startup_seconds + 8 ? this->settings.startup_slowdown : 1);
    return condition;
}

void traffic_model::add_fault(version_condition& target, route_model const& route, int second,
                              double share) const
{
    auto const& fault = this->settings;
    bool const is_active = fault.fault != fault_kind::none && second >= fault.fault_after &&
                           share >= fault.fault_share &&
                           (fault.fault_route.empty() || fault.fault_route == route.name);
    if (!is_active)
        return;
    target.failures += fault.fault_failures;
    target.slowdown *= fault.fault_slowdown;
}

void traffic_model::add_call(traffic_sample& sample, route_model const& route,
                             version_condition const& condition)
{
    ++sample.requests;
    ++sample.sent;
    auto const latency = [&](double median)
    {
        return from_seconds(median * condition.slowdown *
                            std::exp(route.spread * draw_normal(this->random)));
    };
    if (this->random.unit() < condition.failures)
    {
        ++sample.failures;
        return;
    }
    sample.whole_call.add(latency(route.median));
    if (!this->settings.is_model_engine)
        return;
    sample.first_token.add(latency(0.25));
    auto const gap = latency(0.025);
    for (int token = 0; token < 8; ++token)
        sample.between_tokens.add(gap);
}

std::vector<traffic_sample> traffic_model::take_arrived_samples(int second)
{
    std::vector<traffic_sample> result;
    while (!this->pending_reports.empty() && this->pending_reports.begin()->first <= second)
    {
        auto const& reports = this->pending_reports.begin()->second;
        result.insert(result.end(), reports.begin(), reports.end());
        this->pending_reports.erase(this->pending_reports.begin());
    }
    return result;
}

} // namespace lagoonladder::version::study
