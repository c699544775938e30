#include "endpoint_pacing.hpp"

#include <algorithm>

namespace lagoonladder::proxy
{

namespace
{

/// Observing all endpoints of a large system takes about a millisecond.
constexpr duration round_interval = milliseconds(250);

request::cold_limit find_limit(traffic_view const& view, service_name const& service)
{
    auto const* found = view.services ? view.services->find_service(service) : nullptr;
    if (found == nullptr)
        return {};
    return {found->cold_rate, found->cold_time};
}

request::attempt_end pace_end(endpoint_attempt const& attempt, attempt_result result)
{
    switch (result)
    {
    case attempt_result::complete:
        return request::attempt_end::neutral;
    case attempt_result::not_run:
        return attempt.answer().is_from_other_endpoint ? request::attempt_end::neutral
                                                       : request::attempt_end::refused;
    case attempt_result::not_sent:
    case attempt_result::failed_answer:
    case attempt_result::broken:
    case attempt_result::silent:
        return request::attempt_end::failed;
    }
    return request::attempt_end::neutral;
}

} // namespace

endpoint_pacing::endpoint_pacing(request::endpoint_pace_options const& options,
                                 time_point process_start)
    : decisions(options, process_start)
{
}

void endpoint_pacing::tick(time_point now, traffic_view const& view)
{
    this->set_evacuated(now, view, view.evacuated);
    std::vector<vm_id> entries;
    for (auto const& entry : view.serving)
        entries.push_back(entry.vm);
    this->decisions.set_entries(entries, view.vm, view.portion.may_accrue);
    if (now < this->round_begun + round_interval)
        return;
    this->round_begun = now;
    this->decisions.begin_round(now);
    for (auto const& [service, endpoints] : view.endpoints)
    {
        auto const limit = find_limit(view, service);
        if (!this->decisions.applies_to(limit))
            continue;
        for (auto const& endpoint : endpoints)
            this->observe(now, service, limit, endpoint);
    }
}

void endpoint_pacing::observe(time_point now, service_name const& service,
                              request::cold_limit const& limit,
                              connection::endpoint_record const& endpoint)
{
    this->decisions.observe(
        now, service, limit,
        {endpoint.id, endpoint.incarnation, endpoint.sequence, endpoint.cold_remaining});
}

void endpoint_pacing::filter(time_point now, traffic_view const& view, service_name const& service,
                             request::balanced_route_policy const& health,
                             std::vector<endpoint_id> const& tried, random_source& random,
                             endpoint_record_pointers& endpoints)
{
    // The view may have changed since the last tick.
    this->set_evacuated(now, view, view.evacuated);
    auto const limit = find_limit(view, service);
    if (!this->decisions.applies_to(limit))
        return;
    std::erase_if(endpoints, [&](auto const* endpoint)
                  { return std::find(tried.begin(), tried.end(), endpoint->id) != tried.end(); });
    auto const shares = this->weigh(now, service, limit, health, endpoints);
    auto const selected = request::endpoint_pace::draw(shares, random);
    endpoint_record_pointers kept;
    for (std::size_t i = 0; i < endpoints.size(); ++i)
    {
        if (selected[i])
            kept.push_back(endpoints[i]);
    }
    endpoints = std::move(kept);
}

std::vector<request::pace_share> endpoint_pacing::weigh(
    time_point now, service_name const& service, request::cold_limit const& limit,
    request::balanced_route_policy const& health, endpoint_record_pointers const& endpoints)
{
    std::vector<request::pace_candidate> candidates;
    candidates.reserve(endpoints.size());
    for (auto const* endpoint : endpoints)
    {
        this->observe(now, service, limit, *endpoint);
        candidates.push_back({endpoint->id, health.is_excluded(now, endpoint->id)});
    }
    return this->decisions.weigh(now, service, candidates);
}

std::optional<std::vector<request::pace_share>>
endpoint_pacing::preview(time_point now, traffic_view const& view, service_name const& service,
                         request::balanced_route_policy const& health,
                         endpoint_record_pointers const& endpoints) const
{
    auto const limit = find_limit(view, service);
    if (!this->decisions.applies_to(limit))
        return std::nullopt;
    // A choice takes the rows of the endpoints into account before it decides.
    auto updated = *this;
    updated.set_evacuated(now, view, view.evacuated);
    return updated.weigh(now, service, limit, health, endpoints);
}

std::optional<duration>
endpoint_pacing::time_until_room(time_point now, traffic_view const& view,
                                 service_name const& service,
                                 endpoint_record_pointers const& endpoints) const
{
    if (endpoints.empty() || find_limit(view, service).rate <= 0)
        return std::nullopt;
    auto shortest = duration::max();
    for (auto const* endpoint : endpoints)
        shortest = std::min(shortest, this->decisions.time_until_room(now, endpoint->id));
    return shortest;
}

void endpoint_pacing::set_evacuated(time_point now, traffic_view const& view,
                                    std::set<data_centre_id> const& data_centres)
{
    if (this->evacuated == data_centres)
        return;
    for (auto const& data_centre : this->evacuated)
    {
        if (!data_centres.contains(data_centre))
            this->restart_endpoints(now, view, data_centre);
    }
    this->evacuated = data_centres;
}

void endpoint_pacing::restart_endpoints(time_point now, traffic_view const& view,
                                        data_centre_id const& data_centre)
{
    for (auto const& [service, endpoints] : view.endpoints)
    {
        auto const limit = find_limit(view, service);
        if (!this->decisions.applies_to(limit))
            continue;
        for (auto const& endpoint : endpoints)
        {
            if (endpoint.data_centre != data_centre)
                continue;
            this->observe(now, service, limit, endpoint);
            this->decisions.restart(now, endpoint.id);
        }
    }
}

void endpoint_pacing::record_start(time_point now, endpoint_id const& endpoint)
{
    this->decisions.record_start(now, endpoint);
}

void endpoint_pacing::record_answer(time_point now, service_name const& service,
                                    endpoint_attempt const& attempt)
{
    this->decisions.record_answer(now, service, attempt.endpoint().id, attempt.started());
}

void endpoint_pacing::record_head(time_point now, endpoint_attempt const& attempt)
{
    if (attempt.answer().cold_remaining)
        this->decisions.record_cold(now, attempt.endpoint().id, *attempt.answer().cold_remaining);
}

void endpoint_pacing::record_end(time_point now, service_name const& service,
                                 endpoint_attempt const& attempt, attempt_result result)
{
    // The head of a refusal is not passed on to the call.
    bool const is_refusal =
        result == attempt_result::not_run && !attempt.answer().is_from_other_endpoint;
    if (is_refusal)
        this->record_head(now, attempt);
    this->decisions.record_end(now, service, attempt.endpoint().id, attempt.started(),
                               pace_end(attempt, result));
}

void endpoint_pacing::record_cancel(time_point now, service_name const& service,
                                    endpoint_attempt const& attempt)
{
    this->decisions.record_end(now, service, attempt.endpoint().id, attempt.started(),
                               request::attempt_end::neutral);
}

} // namespace lagoonladder::proxy
