#include <algorithm>

#include "endpoint_chooser.hpp"

namespace lagoonladder::proxy
{

namespace
{

/// With more endpoints that get requests by chance, the chances are estimated from samples instead
/// of all combinations. Each is evaluated on the thread that carries calls, so that both ways are
/// limited to 64.
constexpr std::size_t max_drawn_endpoints = 6;
constexpr std::size_t sample_count = 64;
constexpr std::uint64_t sample_seed = 1;

/// Endpoints that the pace may select together, and the chance of it.
struct selection
{
    std::vector<bool> selected;
    double chance = 1;
};

bool is_uncertain(request::pace_share const& share)
{
    return share.chance() > 0 && share.chance() < 1;
}

std::vector<selection> sample_selections(std::vector<request::pace_share> const& shares)
{
    seeded_random random(sample_seed);
    std::vector<selection> samples;
    for (std::size_t i = 0; i < sample_count; ++i)
        samples.push_back({request::endpoint_pace::draw(shares, random), 1.0 / sample_count});
    return samples;
}

/// Returns all combinations of the endpoints that get a request by chance.
std::vector<selection> enumerate_selections(std::vector<request::pace_share> const& shares)
{
    std::vector<selection> selections{{std::vector<bool>(shares.size()), 1}};
    for (std::size_t i = 0; i < shares.size(); ++i)
    {
        auto const chance = shares[i].chance();
        if (!is_uncertain(shares[i]))
        {
            for (auto& known : selections)
                known.selected[i] = chance > 0;
            continue;
        }
        auto with_endpoint = selections;
        for (auto& known : with_endpoint)
        {
            known.selected[i] = true;
            known.chance *= chance;
        }
        for (auto& known : selections)
            known.chance *= 1 - chance;
        selections.insert(selections.end(), with_endpoint.begin(), with_endpoint.end());
    }
    for (auto& known : selections)
        known.selected = request::endpoint_pace::complete(shares, std::move(known.selected));
    return selections;
}

exclusion find_rule(request::route_chance const& chance)
{
    if (chance.chance > 0)
        return exclusion::none;
    return chance.is_failing ? exclusion::failures : exclusion::load;
}

} // namespace

char const* to_string(exclusion rule)
{
    switch (rule)
    {
    case exclusion::none:
        return "none";
    case exclusion::address_taken_over:
        return "address_taken_over";
    case exclusion::leaving:
        return "leaving";
    case exclusion::evacuated:
        return "evacuated";
    case exclusion::region:
        return "region";
    case exclusion::reversed_version:
        return "reversed_version";
    case exclusion::other_version:
        return "other_version";
    case exclusion::cold:
        return "cold";
    case exclusion::learned_pace:
        return "learned_pace";
    case exclusion::failures:
        return "failures";
    case exclusion::cost:
        return "cost";
    case exclusion::load:
        return "load";
    }
    return "unknown";
}

endpoint_explanation
endpoint_chooser::explain_estimates(time_point now, connection::endpoint_record const& endpoint,
                                    incoming_call const& call) const
{
    endpoint_explanation row;
    row.endpoint = &endpoint;
    row.load = this->loads.estimate(now, endpoint.id);
    row.has_load_report = this->loads.has_report(endpoint.id);
    row.time_deviation = this->prompts.speeds().deviation(now, endpoint.id);
    row.has_stated_time = this->prompts.speeds().has_stated(endpoint.id);
    row.has_known_prompts = this->prompts.has_seen(endpoint.id);
    row.uncached_tokens = this->prompts.uncached_tokens(endpoint.id, call.prompt);
    row.prefill_time = this->prompts.prefill_time(now, endpoint.id, call.prompt);
    row.time_until_room = this->pace_control.pace().time_until_room(now, endpoint.id);
    return row;
}

choice_explanation endpoint_chooser::explain(time_point now, traffic_view const& view,
                                             version::pass_through_route const& route,
                                             service_name const& service,
                                             incoming_call const& call) const
{
    // A choice updates the number of entries first.
    if (this->prompts.entries() != std::max(1U, view.entries))
    {
        auto updated = *this;
        updated.prompts.set_entry_count(view.entries);
        return updated.explain(now, view, route, service, call);
    }
    choice_explanation result;
    exclusion_list removed;
    auto const endpoints = this->find_endpoints(now, view, service, call, &removed);
    for (auto const& [endpoint, rule] : removed)
    {
        result.endpoints.push_back(this->explain_estimates(now, *endpoint, call));
        result.endpoints.back().rule = rule;
    }
    this->add_chances(now, view, route, service, call, endpoints, result);
    std::stable_sort(result.endpoints.begin(), result.endpoints.end(),
                     [](auto const& left, auto const& right)
                     { return left.chance > right.chance; });
    return result;
}

void endpoint_chooser::add_chances(time_point now, traffic_view const& view,
                                   version::pass_through_route const& route,
                                   service_name const& service, incoming_call const& call,
                                   endpoint_record_pointers const& endpoints,
                                   choice_explanation& result) const
{
    auto const* found_service = view.services->find_service(service);
    bool const is_engine = found_service != nullptr && found_service->is_engine;
    auto const found_policy = this->policies.find(service);
    auto const policy =
        found_policy != this->policies.end() ? found_policy->second : this->make_policy(is_engine);
    auto const shares = this->pace_control.preview(now, view, service, policy, endpoints);
    std::vector<selection> selections{{std::vector<bool>(endpoints.size(), true), 1}};
    if (shares)
    {
        auto const drawn = std::count_if(shares->begin(), shares->end(), is_uncertain);
        result.is_sampled = static_cast<std::size_t>(drawn) > max_drawn_endpoints;
        selections = result.is_sampled ? sample_selections(*shares) : enumerate_selections(*shares);
    }
    std::map<endpoint_id, endpoint_explanation> rows;
    for (std::size_t i = 0; i < endpoints.size(); ++i)
    {
        auto row = this->explain_estimates(now, *endpoints[i], call);
        bool const has_room = !shares || (*shares)[i].has_room;
        row.rule = has_room ? exclusion::learned_pace : exclusion::cold;
        rows.emplace(endpoints[i]->id, row);
    }
    for (auto const& [selected, chance] : selections)
    {
        endpoint_record_pointers kept;
        for (std::size_t i = 0; i < endpoints.size(); ++i)
        {
            if (selected[i])
                kept.push_back(endpoints[i]);
        }
        auto const set = this->make_candidates(now, view, route, is_engine, call, policy, {}, kept);
        for (auto const* endpoint : kept)
        {
            auto& row = rows.at(endpoint->id);
            if (row.chance <= 0)
                row.rule =
                    policy.is_excluded(now, endpoint->id) ? exclusion::failures : exclusion::cost;
        }
        for (std::size_t i = 0; i < set.priced.size(); ++i)
            rows.at(set.priced[i]).cost = set.costs[i];
        for (auto const& candidate : policy.chances(now, set.candidates, set.query))
        {
            auto& row = rows.at(candidate.endpoint_id);
            row.chance += chance * candidate.chance;
            row.rule = row.chance > 0 ? exclusion::none : find_rule(candidate);
        }
    }
    for (auto const& [id, row] : rows)
        result.endpoints.push_back(row);
}

} // namespace lagoonladder::proxy
