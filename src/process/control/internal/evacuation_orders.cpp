#include "evacuation_orders.hpp"

#include <algorithm>

namespace lagoonladder::control
{

evacuation_orders::evacuation_orders(leader_client& client, state_follower const& follower,
                                     telemetry const& sinks)
    : consensus_group(client)
    , followed_state(follower)
    , events(sinks.events)
    , metrics(sinks.metrics)
{
}

void evacuation_orders::propose(version::set_evacuation order, time_point deadline,
                                leader_client::proposal_handler done)
{
    if (!order.base)
        order.base = this->known_number(order.data_centre);
    this->consensus_group.propose(
        order, deadline,
        [this, order, done = std::move(done)](proposal_outcome const& outcome)
        {
            this->record(order, outcome);
            done(outcome);
        });
}

std::uint64_t evacuation_orders::known_number(data_centre_id const& data_centre) const
{
    auto const followed =
        version::evacuation_number(this->followed_state.state()->evacuations, data_centre);
    auto const found = this->result_numbers.find(data_centre);
    return found == this->result_numbers.end() ? followed : std::max(followed, found->second);
}

void evacuation_orders::record(version::set_evacuation const& order,
                               proposal_outcome const& outcome)
{
    auto const* result = std::get_if<version::evacuation_result>(&outcome.result);
    if (outcome.status != proposal_status::committed || result == nullptr)
        return;
    auto& number = this->result_numbers[order.data_centre];
    number = std::max(number, result->number);
    if (!result->is_outdated)
        return;
    this->metrics.add("evacuation_orders_outdated_total", {});
    this->events.emit(severity::warning, "evacuation.order_outdated",
                      {{"data_centre", order.data_centre.value()},
                       {"is_evacuated", order.is_evacuated ? "true" : "false"},
                       {"base", std::to_string(order.base.value_or(0))},
                       {"number", std::to_string(result->number)}});
}

} // namespace lagoonladder::control
