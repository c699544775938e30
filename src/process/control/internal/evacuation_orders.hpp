#ifndef LAGOONLADDER_CONTROL_EVACUATION_ORDERS_HPP
#define LAGOONLADDER_CONTROL_EVACUATION_ORDERS_HPP

#include "leader_client.hpp"
#include "state_follower.hpp"
#include "telemetry.hpp"

namespace lagoonladder::control
{

/// Proposes orders that start or end evacuations. Each states the newest number of its data
/// centre's record that this daemon knows, so that an order that is committed late, after a newer
/// one, has no effect. Runs on the control thread.
class evacuation_orders
{
public:
    evacuation_orders(leader_client& client, state_follower const& follower,
                      telemetry const& sinks);

    /// An order that states a base keeps it.
    void propose(version::set_evacuation order, time_point deadline,
                 leader_client::proposal_handler done);

private:
    std::uint64_t known_number(data_centre_id const& data_centre) const;
    void record(version::set_evacuation const& order, proposal_outcome const& outcome);

    leader_client& consensus_group;
    state_follower const& followed_state;
    event_sink& events;
    observability::metrics& metrics;
    /// Numbers from the results of earlier orders. The followed state may lag behind them.
    std::map<data_centre_id, std::uint64_t> result_numbers;
};

} // namespace lagoonladder::control

#endif
