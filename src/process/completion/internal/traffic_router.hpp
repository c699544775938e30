#ifndef LAGOONLADDER_COMPLETION_TRAFFIC_ROUTER_HPP
#define LAGOONLADDER_COMPLETION_TRAFFIC_ROUTER_HPP

#include <map>
#include <optional>

#include <lagoonladder/completion/traffic_context.hpp>

namespace lagoonladder::completion
{

/// What the choice of an endpoint depends on.
struct endpoint_query
{
    service_name service;
    version_name version;
    /// Prompt or path; its start decides the prefix affinity. Empty: no affinity.
    std::string prefix;
    /// Endpoints that already failed this request.
    std::vector<endpoint_id> excluded;
};

/// Chooses endpoints by load and affinity, and versions by share. Used on the traffic
/// thread.
class traffic_router
{
public:
    traffic_router(traffic_context& shared, std::uint64_t seed);

    /// The version that serves a request, by the current split. A new version without
    /// an endpoint gets no requests.
    static version_name version_for(control_view const& view, service_name const& service,
                                    request_id const& id);

    /// Chooses an endpoint and counts an attempt on it; attempt_ended must follow.
    std::optional<connection::endpoint_record> choose(control_view const& view,
                                                      endpoint_query const& query);

    /// `outcome` is empty for an attempt that says nothing about the endpoint.
    void attempt_ended(connection::endpoint_record const& endpoint,
                       std::optional<request::route_outcome> const& outcome);

    /// Whether an endpoint of the version has a free slot.
    bool has_free_slot(control_view const& view, service_name const& service,
                       version_name const& version);

    /// Requests that endpoints of the version run at the same time.
    static std::uint32_t slots(control_view const& view, service_name const& service,
                               version_name const& version);

    void first_attempt(version::service_config const& service);
    request::retry_decision retry(version::service_config const& service,
                                  request::retry_query const& query);

    /// Uniform in [0, 1).
    double random_unit();

private:
    struct service_state
    {
        request::balanced_route_policy policy;
        request::retry_budget budget;
        request::prefix_index prefixes;
    };

    void take_reports(std::vector<connection::endpoint_record> const& endpoints);
    request::retry_budget& budget_of(version::service_config const& service);

    traffic_context& context;
    seeded_random random;
    request::load_estimate load;
    std::map<service_name, service_state> services;
    std::map<endpoint_id, incarnation> incarnations;
};

} // namespace lagoonladder::completion

#endif
