#ifndef LAGOONLADDER_COMPLETION_TRAFFIC_ROUTER_HPP
#define LAGOONLADDER_COMPLETION_TRAFFIC_ROUTER_HPP

#include <map>
#include <optional>

#include <lagoonladder/completion/traffic_context.hpp>

namespace lagoonladder::completion
{

/// Criteria for the choice of an endpoint.
struct endpoint_query
{
    service_name service;
    version_name version;
    /// Prompt or path; its beginning determines the prefix affinity. Empty for no affinity.
    std::string prefix;
    /// Endpoints on which this request already failed.
    std::vector<endpoint_id> excluded_endpoints;
};

/// Chooses endpoints by load and affinity, and versions by share of traffic. Used on the
/// traffic thread only.
class traffic_router
{
public:
    traffic_router(traffic_context& shared_context, std::uint64_t seed);

    /// The version that serves a request according to the current split of traffic. A new
    /// version without a serving endpoint receives no requests.
    static version_name version_for(control_view const& view, service_name const& service,
                                    request_id const& id);

    /// Chooses an endpoint and counts an attempt on it; attempt_ended() must be called when the
    /// attempt has ended.
    std::optional<connection::endpoint_record> choose(control_view const& view,
                                                      endpoint_query const& query);

    /// `outcome` is empty if the attempt permits no conclusion about the endpoint.
    void attempt_ended(connection::endpoint_record const& endpoint,
                       std::optional<request::route_outcome> const& outcome);

    /// Whether an endpoint of the version has a free slot.
    bool has_free_slot(control_view const& view, service_name const& service,
                       version_name const& version);

    /// Number of requests that the serving endpoints of the version can run at the same time.
    static std::uint32_t slot_count(control_view const& view, service_name const& service,
                                    version_name const& version);

    /// Counts the first attempt of a request, which raises the retry budget of its service.
    void record_first_attempt(version::service_config const& service);
    /// Decides whether an attempt may be retried and takes an allowed retry from the retry budget.
    request::retry_decision decide_retry(version::service_config const& service,
                                         request::retry_query const& query);

    /// Random number, uniformly distributed in [0, 1).
    double random_unit();

private:
    struct service_state
    {
        request::balanced_route_policy policy;
        request::retry_budget budget;
        request::prefix_index prefixes;
    };

    void update_load(std::vector<connection::endpoint_record> const& endpoints);
    request::retry_budget& budget_of(version::service_config const& service);

    traffic_context& context;
    seeded_random random;
    request::load_estimate load;
    std::map<service_name, service_state> services;
    std::map<endpoint_id, incarnation> incarnations;
};

} // namespace lagoonladder::completion

#endif
