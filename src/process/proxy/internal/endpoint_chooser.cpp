#include "endpoint_chooser.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <unordered_map>

#include "home_regions.hpp"

namespace lagoonladder::proxy
{

namespace
{

/// Calls that are not assigned to the candidate version may use it only above this share.
constexpr double min_fallback_share = 0.5;
/// How long an endpoint is not chosen after another one has taken over its address.
constexpr duration replaced_retention = seconds(10);
/// Engines whose costs differ by no more than this are treated as equal, since the estimate is no
/// more precise.
constexpr duration cost_tolerance = milliseconds(15);

request::balanced_route_options engine_options()
{
    request::balanced_route_options options;
    // Engines serve at full speed from their start, so that a short ramp is enough.
    options.ramp_up = seconds(1);
    options.ramp_start = 0.5;
    return options;
}

bool is_serving(connection::endpoint_record const& endpoint)
{
    return endpoint.state == connection::endpoint_state::serving;
}

/// Removes the endpoints to which a rule applies. Adds them to `removed` unless it is null.
template <class Condition>
void exclude_if(endpoint_record_pointers& endpoints, exclusion rule, exclusion_list* removed,
                Condition const& condition)
{
    std::erase_if(endpoints,
                  [&](auto const* endpoint)
                  {
                      bool const is_excluded = condition(*endpoint);
                      if (is_excluded && removed != nullptr)
                          removed->emplace_back(endpoint, rule);
                      return is_excluded;
                  });
}

/// Where several endpoints have the same address, keeps only the one that started last.
void remove_replaced(endpoint_record_pointers& endpoints, exclusion_list* removed)
{
    std::unordered_map<std::string_view, incarnation> latest_incarnations;
    latest_incarnations.reserve(endpoints.size());
    for (auto const* endpoint : endpoints)
    {
        auto& latest = latest_incarnations[endpoint->address.value()];
        latest = std::max(latest, endpoint->incarnation);
    }
    if (latest_incarnations.size() == endpoints.size())
        return;
    exclude_if(endpoints, exclusion::address_taken_over, removed,
               [&](auto const& endpoint)
               { return endpoint.incarnation < latest_incarnations[endpoint.address.value()]; });
}

request::route_candidate make_candidate(connection::endpoint_record const& endpoint, double load)
{
    request::route_candidate candidate;
    candidate.endpoint_id = endpoint.id;
    candidate.data_centre = endpoint.data_centre;
    candidate.zone = endpoint.zone;
    candidate.version = endpoint.version;
    candidate.reclaimable = endpoint.reclaimable;
    candidate.load = load;
    candidate.slots = endpoint.load.slots;
    return candidate;
}

/// Keeps the endpoints of the version that a running move assigns to the call. If there are none,
/// keeps those of the other version, but the candidate's only if it has most of the traffic: until
/// then it may be bad, and the loss of the stable version's endpoints must not give it all calls.
endpoint_record_pointers select_version(endpoint_record_pointers endpoints,
                                        version::traffic_split const& split, request_id const& call,
                                        exclusion_list* removed)
{
    auto const is_candidate = [&](auto const* endpoint)
    { return endpoint->version == split.candidate; };
    bool const has_candidate = std::any_of(endpoints.begin(), endpoints.end(), is_candidate);
    bool const has_stable = !std::all_of(endpoints.begin(), endpoints.end(), is_candidate);
    bool const is_assigned_to_candidate = split.choose(call) == split.candidate;
    bool const may_use_candidate = split.candidate_share > min_fallback_share;
    bool const uses_candidate =
        has_candidate && (is_assigned_to_candidate || (!has_stable && may_use_candidate));
    exclude_if(endpoints, exclusion::other_version, removed,
               [&](auto const& endpoint) { return is_candidate(&endpoint) != uses_candidate; });
    return endpoints;
}

bool contains(std::map<service_name, std::set<version_name>> const& versions,
              service_name const& service, version_name const& version)
{
    auto const found = versions.find(service);
    return found != versions.end() && found->second.contains(version);
}

/// Removes the endpoints of reversed versions. If there are no others, keeps those of versions that
/// were not shown to be worse, since a service with sound endpoints must have one to use.
void remove_reversed(endpoint_record_pointers& endpoints, traffic_view const& view,
                     service_name const& service, exclusion_list* removed)
{
    bool const has_other = std::any_of(
        endpoints.begin(), endpoints.end(),
        [&](auto const* endpoint) { return !contains(view.reversed, service, endpoint->version); });
    auto const is_removed = [&](auto const& endpoint)
    {
        return contains(view.reversed, service, endpoint.version) &&
               (has_other || !contains(view.undecided, service, endpoint.version));
    };
    exclude_if(endpoints, exclusion::reversed_version, removed, is_removed);
}

} // namespace

endpoint_record_pointers usable_endpoints(traffic_view const& view, service_name const& service,
                                          request_id const& call,
                                          std::optional<std::set<region_id>> const& regions,
                                          exclusion_list* removed)
{
    auto const service_endpoints = view.endpoints.find(service);
    if (service_endpoints == view.endpoints.end())
        return {};
    endpoint_record_pointers endpoints;
    endpoints.reserve(service_endpoints->second.size());
    for (auto const& endpoint : service_endpoints->second)
        endpoints.push_back(&endpoint);
    remove_replaced(endpoints, removed);
    exclude_if(endpoints, exclusion::leaving, removed,
               [](auto const& endpoint) { return !is_serving(endpoint); });
    exclude_if(endpoints, exclusion::evacuated, removed,
               [&](auto const& endpoint) { return view.evacuated.contains(endpoint.data_centre); });
    exclude_if(endpoints, exclusion::region, removed,
               [&](auto const& endpoint)
               { return !is_in_regions(view, endpoint.data_centre, regions); });
    remove_reversed(endpoints, view, service, removed);
    auto const found_split = view.splits.find(service);
    if (found_split == view.splits.end())
        return endpoints;
    auto const& split = found_split->second;
    if (!split.candidate.value().empty())
    {
        return select_version(std::move(endpoints), split, call, removed);
    }
    bool const has_stable =
        std::any_of(endpoints.begin(), endpoints.end(),
                    [&](auto const* endpoint) { return endpoint->version == split.stable; });
    if (has_stable)
        exclude_if(endpoints, exclusion::other_version, removed,
                   [&](auto const& endpoint) { return endpoint.version != split.stable; });
    return endpoints;
}

endpoint_chooser::endpoint_chooser(request::endpoint_pace_options const& pace,
                                   time_point process_start)
    : is_pace_learned(pace.is_learned)
    , pace_control(pace, process_start)
{
}

request::balanced_route_policy& endpoint_chooser::policy(service_name const& service,
                                                         bool is_engine)
{
    auto const found = this->policies.find(service);
    if (found != this->policies.end())
        return found->second;
    return this->policies.emplace(service, this->make_policy(is_engine)).first->second;
}

request::balanced_route_policy endpoint_chooser::make_policy(bool is_engine) const
{
    auto options = is_engine ? engine_options() : request::balanced_route_options();
    if (this->is_pace_learned)
        options.ramp_start = 1;
    return request::balanced_route_policy(options);
}

endpoint_record_pointers endpoint_chooser::find_endpoints(time_point now, traffic_view const& view,
                                                          service_name const& service,
                                                          incoming_call const& call,
                                                          exclusion_list* removed) const
{
    auto endpoints = usable_endpoints(view, service, call.id, call.regions, removed);
    exclude_if(endpoints, exclusion::address_taken_over, removed,
               [&](auto const& endpoint) { return this->is_replaced(now, endpoint); });
    return endpoints;
}

std::optional<connection::endpoint_record>
endpoint_chooser::choose(time_point now, traffic_view const& view,
                         version::pass_through_route const& route, service_name const& service,
                         incoming_call const& call, std::vector<endpoint_id> const& excluded,
                         random_source& random)
{
    auto endpoints = this->find_endpoints(now, view, service, call);
    auto const* found_service = view.services->find_service(service);
    bool const is_engine = found_service != nullptr && found_service->is_engine;
    auto& route_policy = this->policy(service, is_engine);
    this->pace_control.filter(now, view, service, route_policy, excluded, random, endpoints);
    this->prompts.set_entry_count(view.entries);
    auto const set =
        this->make_candidates(now, view, route, is_engine, call, route_policy, excluded, endpoints);
    auto const chosen = route_policy.choose(now, set.candidates, set.query, random);
    if (!chosen)
        return std::nullopt;
    auto const chosen_endpoint =
        std::find_if(endpoints.begin(), endpoints.end(),
                     [&](auto const* candidate) { return candidate->id == *chosen; });
    return **chosen_endpoint;
}

endpoint_chooser::candidate_set endpoint_chooser::make_candidates(
    time_point now, traffic_view const& view, version::pass_through_route const& route,
    bool is_engine, incoming_call const& call, request::balanced_route_policy const& health,
    std::vector<endpoint_id> const& excluded, endpoint_record_pointers const& endpoints) const
{
    candidate_set set;
    set.candidates.reserve(endpoints.size());
    for (auto const* endpoint : endpoints)
    {
        set.candidates.push_back(
            make_candidate(*endpoint, this->loads.estimate(now, endpoint->id)));
        set.candidates.back().time_deviation = this->prompts.speeds().deviation(now, endpoint->id);
    }
    set.query.data_centre = view.data_centre;
    set.query.excluded = excluded;
    if (is_engine && route.has_prefix_affinity)
        this->keep_cheapest(now, call.prompt, health, set);
    return set;
}

std::optional<duration>
endpoint_chooser::time_until_room(time_point now, traffic_view const& view,
                                  service_name const& service, incoming_call const& call,
                                  std::vector<endpoint_id> const& excluded) const
{
    auto endpoints = usable_endpoints(view, service, call.id, call.regions);
    std::erase_if(endpoints,
                  [&](auto const* endpoint)
                  {
                      bool const was_tried = std::find(excluded.begin(), excluded.end(),
                                                       endpoint->id) != excluded.end();
                      return was_tried || this->is_replaced(now, *endpoint);
                  });
    return this->pace_control.time_until_room(now, view, service, endpoints);
}

void endpoint_chooser::keep_cheapest(time_point now, request::prompt_parts const& prompt,
                                     request::balanced_route_policy const& health,
                                     candidate_set& set) const
{
    auto const& excluded = set.query.excluded;
    std::vector<endpoint_id> healthy;
    std::vector<duration> delays;
    for (auto const& candidate : set.candidates)
    {
        auto const& id = candidate.endpoint_id;
        bool const was_tried = std::find(excluded.begin(), excluded.end(), id) != excluded.end();
        if (was_tried || health.is_excluded(now, id))
            continue;
        healthy.push_back(id);
        // Without a stated time, the load is recorded at the end of the attempt only, which is too
        // old to derive a delay from.
        auto const& speeds = this->prompts.speeds();
        delays.push_back(
            speeds.has_stated(id)
                ? request::load_delay(candidate.load, candidate.slots, speeds.deviation(now, id))
                : duration(0));
    }
    if (healthy.empty())
        return;
    auto costs = this->prompts.placement_costs(now, healthy, prompt);
    for (std::size_t i = 0; i < costs.size(); ++i)
        costs[i] += delays[i];
    auto const min_cost = *std::min_element(costs.begin(), costs.end());
    std::set<endpoint_id> cheapest;
    for (std::size_t i = 0; i < healthy.size(); ++i)
    {
        if (costs[i] <= min_cost + cost_tolerance)
            cheapest.insert(healthy[i]);
    }
    std::erase_if(set.candidates,
                  [&](auto const& candidate) { return !cheapest.contains(candidate.endpoint_id); });
    set.priced = std::move(healthy);
    set.costs = std::move(costs);
}

void endpoint_chooser::record_start(time_point now, endpoint_id const& endpoint)
{
    this->loads.dispatched(now, endpoint);
    this->pace_control.record_start(now, endpoint);
}

void endpoint_chooser::record_end(time_point now, service_name const& service,
                                  endpoint_id const& endpoint,
                                  std::optional<request::route_outcome> const& outcome)
{
    this->loads.completed(now, endpoint);
    this->loads.expire(now);
    auto const found = this->policies.find(service);
    if (outcome && found != this->policies.end())
        found->second.record(now, endpoint, *outcome);
}

void endpoint_chooser::record_silence(time_point now, service_name const& service,
                                      endpoint_id const& endpoint, duration elapsed)
{
    request::route_outcome outcome;
    outcome.ok = false;
    outcome.elapsed = elapsed;
    auto const found = this->policies.find(service);
    if (found != this->policies.end())
        found->second.record(now, endpoint, outcome);
}

void endpoint_chooser::record_load(time_point now, endpoint_id const& endpoint,
                                   connection::load_report const& load)
{
    if (load.has_running)
        this->loads.report(now, endpoint, this->next_report++, load.running, load.waiting);
    if (load.relative_time)
        this->prompts.speeds().stated(now, endpoint, *load.relative_time);
}

void endpoint_chooser::mark_replaced(time_point now, connection::endpoint_record const& endpoint)
{
    std::erase_if(this->replaced, [&](auto const& item) { return item.second.until <= now; });
    this->replaced[endpoint.id] = {endpoint.incarnation, now + replaced_retention};
}

bool endpoint_chooser::is_replaced(time_point now,
                                   connection::endpoint_record const& endpoint) const
{
    auto const found = this->replaced.find(endpoint.id);
    return found != this->replaced.end() && found->second.until > now &&
           endpoint.incarnation <= found->second.latest_incarnation;
}

} // namespace lagoonladder::proxy
