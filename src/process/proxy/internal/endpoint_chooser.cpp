#include "endpoint_chooser.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <unordered_map>

namespace lagoonladder::proxy
{

namespace
{

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

bool is_serving(connection::endpoint_record const& row)
{
    return row.state == connection::endpoint_state::serving;
}

/// Where several rows have one address, keeps that of the endpoint that started last.
void remove_replaced(endpoint_rows& rows)
{
    std::unordered_map<std::string_view, incarnation> latest;
    latest.reserve(rows.size());
    for (auto const* row : rows)
    {
        auto& known = latest[row->address.value()];
        known = std::max(known, row->incarnation);
    }
    if (latest.size() == rows.size())
        return;
    std::erase_if(rows,
                  [&](auto const* row) { return row->incarnation < latest[row->address.value()]; });
}

request::route_candidate make_candidate(connection::endpoint_record const& row, double load)
{
    request::route_candidate candidate;
    candidate.endpoint_id = row.id;
    candidate.data_centre = row.data_centre;
    candidate.zone = row.zone;
    candidate.version = row.version;
    candidate.reclaimable = row.reclaimable;
    candidate.load = load;
    candidate.slots = row.load.slots;
    return candidate;
}

/// Keeps the endpoints of the version that a running move assigns to the call. If there are none,
/// keeps those of the other version, but the candidate's only once it has a share of the traffic.
endpoint_rows select_version(endpoint_rows rows, version::traffic_split const& split,
                             request_id const& call)
{
    auto const is_candidate = [&](auto const* row) { return row->version == split.candidate; };
    bool const has_candidate = std::any_of(rows.begin(), rows.end(), is_candidate);
    bool const has_stable = !std::all_of(rows.begin(), rows.end(), is_candidate);
    bool const is_assigned_to_candidate = split.choose(call) == split.candidate;
    bool const may_use_candidate = split.candidate_share > 0;
    bool const uses_candidate =
        has_candidate && (is_assigned_to_candidate || (!has_stable && may_use_candidate));
    std::erase_if(rows, [&](auto const* row) { return is_candidate(row) != uses_candidate; });
    return rows;
}

} // namespace

endpoint_rows usable_endpoints(traffic_view const& view, service_name const& service,
                               request_id const& call)
{
    auto const known = view.endpoints.find(service);
    if (known == view.endpoints.end())
        return {};
    endpoint_rows rows;
    rows.reserve(known->second.size());
    for (auto const& row : known->second)
        rows.push_back(&row);
    remove_replaced(rows);
    std::erase_if(rows, [](auto const* row) { return !is_serving(*row); });
    auto const reversed = view.reversed.find(service);
    if (reversed != view.reversed.end())
        std::erase_if(rows, [&](auto const* row) { return row->version == reversed->second; });
    auto const found = view.splits.find(service);
    if (found == view.splits.end())
        return rows;
    auto const& split = found->second;
    if (!split.candidate.value().empty())
    {
        return select_version(std::move(rows), split, call);
    }
    bool const has_stable = std::any_of(
        rows.begin(), rows.end(), [&](auto const* row) { return row->version == split.stable; });
    if (has_stable)
        std::erase_if(rows, [&](auto const* row) { return row->version != split.stable; });
    return rows;
}

request::balanced_route_policy& endpoint_chooser::policy(service_name const& service,
                                                         bool is_engine)
{
    auto const found = this->policies.find(service);
    if (found != this->policies.end())
        return found->second;
    auto const options = is_engine ? engine_options() : request::balanced_route_options();
    return this->policies.emplace(service, request::balanced_route_policy(options)).first->second;
}

std::optional<connection::endpoint_record>
endpoint_chooser::choose(time_point now, traffic_view const& view,
                         version::pass_through_route const& route, service_name const& service,
                         incoming_call const& call, std::vector<endpoint_id> const& excluded,
                         random_source& random)
{
    auto rows = usable_endpoints(view, service, call.id);
    std::erase_if(rows, [&](auto const* row) { return this->is_replaced(now, *row); });
    std::vector<request::route_candidate> candidates;
    candidates.reserve(rows.size());
    for (auto const* row : rows)
        candidates.push_back(make_candidate(*row, this->loads.estimate(now, row->id)));
    request::route_query query;
    query.data_centre = view.data_centre;
    query.excluded = excluded;
    auto const* known = view.services->find_service(service);
    bool const is_engine = known != nullptr && known->is_engine;
    auto& balancing = this->policy(service, is_engine);
    this->prompts.set_entry_count(view.entries);
    if (is_engine && route.has_prefix_affinity)
        this->keep_cheapest(now, call.prompt, balancing, excluded, candidates);
    auto const chosen = balancing.choose(now, candidates, query, random);
    if (!chosen)
        return std::nullopt;
    auto const row = std::find_if(rows.begin(), rows.end(),
                                  [&](auto const* candidate) { return candidate->id == *chosen; });
    return **row;
}

void endpoint_chooser::keep_cheapest(time_point now, request::prompt_parts const& prompt,
                                     request::balanced_route_policy const& health,
                                     std::vector<endpoint_id> const& excluded,
                                     std::vector<request::route_candidate>& candidates) const
{
    std::vector<endpoint_id> healthy;
    for (auto const& candidate : candidates)
    {
        auto const& id = candidate.endpoint_id;
        bool const was_tried = std::find(excluded.begin(), excluded.end(), id) != excluded.end();
        if (!was_tried && !health.is_excluded(now, id))
            healthy.push_back(id);
    }
    if (healthy.empty())
        return;
    auto const costs = this->prompts.placement_costs(now, healthy, prompt);
    auto const min_cost = *std::min_element(costs.begin(), costs.end());
    std::set<endpoint_id> cheapest;
    for (std::size_t i = 0; i < healthy.size(); ++i)
    {
        if (costs[i] <= min_cost + cost_tolerance)
            cheapest.insert(healthy[i]);
    }
    std::erase_if(candidates,
                  [&](auto const& candidate) { return !cheapest.contains(candidate.endpoint_id); });
}

void endpoint_chooser::record_start(time_point now, endpoint_id const& endpoint)
{
    this->loads.dispatched(now, endpoint);
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
    this->loads.report(now, endpoint, this->next_report++, load.running, load.waiting);
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
           endpoint.incarnation <= found->second.known;
}

} // namespace lagoonladder::proxy
