#include <traffic_router.hpp>

#include <algorithm>

namespace lagoonladder::completion
{

namespace
{

// Number of bytes of the prompt that determine the affinity group. Chats of one application
// share a system prompt of about this length.
constexpr std::size_t affinity_bytes = 256;

std::vector<connection::endpoint_record> const& endpoints_of(control_view const& view,
                                                             service_name const& service)
{
    static std::vector<connection::endpoint_record> const no_endpoints;
    auto const found = view.endpoints.find(service);
    return found == view.endpoints.end() ? no_endpoints : found->second;
}

bool is_serving(control_view const& view, connection::endpoint_record const& endpoint,
                version_name const& version)
{
    return endpoint.version == version && endpoint.state == connection::endpoint_state::serving &&
           !version::is_evacuated(view.shared->evacuations, endpoint.data_centre);
}

std::uint32_t slots_of(connection::endpoint_record const& endpoint)
{
    return std::max<std::uint32_t>(endpoint.load.slots, 1);
}

} // namespace

traffic_router::traffic_router(traffic_context& shared_context, std::uint64_t seed)
    : context(shared_context)
    , random(seed)
{
}

version_name traffic_router::version_for(control_view const& view, service_name const& service,
                                         request_id const& id)
{
    auto const split = view.shared->splits.find(service);
    if (split != view.shared->splits.end() && !split->second.stable.value().empty())
    {
        auto chosen = split->second.choose(id);
        return slot_count(view, service, chosen) > 0 ? chosen : split->second.stable;
    }
    auto const* config = view.shared->configuration.find_service(service);
    return config ? config->version : version_name();
}

void traffic_router::update_load(std::vector<connection::endpoint_record> const& endpoints)
{
    auto const now = this->context.time.now();
    for (auto const& endpoint : endpoints)
    {
        auto& last_incarnation = this->incarnations[endpoint.id];
        // The sequence of reports restarts with each incarnation of an endpoint.
        if (last_incarnation != endpoint.incarnation)
            this->load.remove(endpoint.id);
        last_incarnation = endpoint.incarnation;
        this->load.report(now, endpoint.id, endpoint.sequence, endpoint.load.running,
                          endpoint.load.waiting);
    }
}

std::optional<connection::endpoint_record> traffic_router::choose(control_view const& view,
                                                                  endpoint_query const& query)
{
    auto const& endpoints = endpoints_of(view, query.service);
    auto const now = this->context.time.now();
    this->update_load(endpoints);
    auto& service = this->services[query.service];
    auto const blocks = request::prefix_blocks(query.prefix);
    std::vector<request::route_candidate> candidates;
    for (auto const& endpoint : endpoints)
    {
        if (!is_serving(view, endpoint, query.version))
            continue;
        candidates.push_back({endpoint.id, endpoint.data_centre, endpoint.zone, endpoint.version,
                              endpoint.reclaimable, false, this->load.estimate(now, endpoint.id),
                              slots_of(endpoint),
                              service.prefixes.match(now, endpoint.id, blocks)});
    }
    request::route_query route;
    route.data_centre = this->context.config.data_centre;
    if (!query.prefix.empty())
        route.prefix_hash = stable_hash(std::string_view(query.prefix).substr(0, affinity_bytes));
    route.excluded = query.excluded_endpoints;
    auto const chosen = service.policy.choose(now, candidates, route, this->random);
    if (!chosen)
        return std::nullopt;
    this->load.dispatched(now, *chosen);
    if (!blocks.empty())
        service.prefixes.routed(now, *chosen, blocks);
    return *std::find_if(endpoints.begin(), endpoints.end(),
                         [&chosen](auto const& endpoint) { return endpoint.id == *chosen; });
}

void traffic_router::attempt_ended(connection::endpoint_record const& endpoint,
                                   std::optional<request::route_outcome> const& outcome)
{
    auto const now = this->context.time.now();
    this->load.completed(now, endpoint.id);
    if (outcome)
        this->services[endpoint.service].policy.record(now, endpoint.id, *outcome);
}

bool traffic_router::has_free_slot(control_view const& view, service_name const& service,
                                   version_name const& version)
{
    auto const& endpoints = endpoints_of(view, service);
    auto const now = this->context.time.now();
    this->update_load(endpoints);
    return std::any_of(endpoints.begin(), endpoints.end(),
                       [&](auto const& endpoint)
                       {
                           return is_serving(view, endpoint, version) &&
                                  this->load.estimate(now, endpoint.id) < slots_of(endpoint);
                       });
}

std::uint32_t traffic_router::slot_count(control_view const& view, service_name const& service,
                                         version_name const& version)
{
    std::uint32_t total = 0;
    for (auto const& endpoint : endpoints_of(view, service))
        if (is_serving(view, endpoint, version))
            total += slots_of(endpoint);
    return total;
}

request::retry_budget& traffic_router::budget_of(version::service_config const& service)
{
    auto& budget = this->services[service.name].budget;
    budget.set_share(service.retry_budget);
    return budget;
}

void traffic_router::record_first_attempt(version::service_config const& service)
{
    this->budget_of(service).first_attempt();
}

request::retry_decision traffic_router::decide_retry(version::service_config const& service,
                                                     request::retry_query const& query)
{
    return this->budget_of(service).retry(this->context.time.now(), query, this->random);
}

double traffic_router::random_unit()
{
    return this->random.unit();
}

} // namespace lagoonladder::completion
