#include "service_budgets.hpp"

#include <algorithm>

namespace lagoonladder::proxy
{

service_budgets::service_budgets(service_budget_options const& initial, time_point process_start)
    : options(initial)
    , started(process_start)
{
}

request::retry_budget& service_budgets::budget(time_point now, service_name const& service,
                                               std::uint32_t entries)
{
    auto const burst = std::max(1.0, this->options.burst / std::max(entries, 1U));
    auto const [position, is_new] = this->services.try_emplace(service, this->make_state(burst));
    auto& state = position->second;
    state.budget.set_burst(burst);
    if (!state.has_burst && now - this->started >= this->options.window)
    {
        state.has_burst = true;
        state.budget.fill();
    }
    return state.budget;
}

service_budgets::service_state service_budgets::make_state(double burst) const
{
    request::retry_budget_options budget;
    budget.share = this->options.share;
    budget.burst = burst;
    budget.starts_empty = true;
    return {request::retry_budget(budget)};
}

} // namespace lagoonladder::proxy
