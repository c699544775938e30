#ifndef LAGOONLADDER_PROXY_PLACEMENT_EXPLANATION_HPP
#define LAGOONLADDER_PROXY_PLACEMENT_EXPLANATION_HPP

#include <nlohmann/json.hpp>

#include <lagoonladder/proxy/placement_query.hpp>

#include "proxy_context.hpp"

namespace lagoonladder::proxy
{

/// Explains where a call would be sent now, by the code that decides on calls. Reads the state of
/// the calls only; where a decision changes its state, it is made on a copy.
class placement_explanation
{
public:
    /// `shared` and `current_view` must outlive the object.
    placement_explanation(proxy_context const& shared, traffic_view const& current_view);

    /// Throws unknown_placement for a route or account that does not exist.
    nlohmann::json explain(placement_query const& query) const;

private:
    /// The calls of a route that are assigned to the same service and version.
    struct call_group
    {
        /// Id that the splits assign to this service and version.
        request_id id;
        service_name service;
        /// Empty while no move is running.
        version_name version;
        /// Fraction of the calls of the service.
        double share = 1;
    };

    incoming_call make_call(placement_query const& query) const;
    /// Takes the tokens of the call from a copy of the quotas.
    nlohmann::json explain_quota(incoming_call const& call, call_admission& admission) const;
    std::vector<call_group> find_groups(version::pass_through_route const& route) const;
    nlohmann::json explain_service(incoming_call const& call, call_admission const& admission,
                                   std::vector<call_group> const& groups,
                                   double service_share) const;
    /// Explains whether the call would be sent, by the gate and the endpoints that may be chosen.
    nlohmann::json explain_outcome(incoming_call const& call, call_admission admission,
                                   bool has_endpoint) const;
    /// Asks copies of the gate with different random numbers. Returns the fraction of refusals.
    double check_capacity(incoming_call const& call, call_admission& admission,
                          nlohmann::json& outcome) const;
    /// Sets what follows when the quota or the configuration refuses the call at first.
    void add_waiting(call_admission const& admission, nlohmann::json& outcome) const;

    proxy_context const& context;
    traffic_view const& view;
    time_point now;
};

} // namespace lagoonladder::proxy

#endif
