#include <lagoonladder/request/endpoint_pace.hpp>

#include <algorithm>

namespace lagoonladder::request
{

namespace
{

/// Time after the first endpoints of a service in which others that are seen for the first time are
/// taken for established too, since this entry has just learned of the service.
constexpr duration discovery_time = seconds(2);
/// Open requests of a started endpoint at its full share, as a multiple of the mean of the others.
constexpr double open_factor = 2;
constexpr duration expiry_interval = seconds(10);

} // namespace

endpoint_pace::endpoint_pace(endpoint_pace_options const& initial, time_point process_start)
    : options(initial)
    , cold(initial.cold, process_start)
{
}

bool endpoint_pace::applies_to(cold_limit const& limit) const
{
    return this->options.is_learned || limit.rate > 0;
}

void endpoint_pace::set_entries(std::vector<vm_id> const& serving_entries, vm_id const& own_entry,
                                bool may_accrue)
{
    this->cold.set_entries(serving_entries, own_entry, may_accrue);
}

void endpoint_pace::begin_round(time_point now)
{
    this->cold.begin_round();
    if (now < this->expired_at + expiry_interval)
        return;
    this->expired_at = now;
    this->starts.expire(now);
    std::erase_if(this->cold_or_excluded, [&](auto const& id) { return !this->cold.contains(id); });
}

void endpoint_pace::observe(time_point now, service_name const& service, cold_limit const& limit,
                            endpoint_statement const& row)
{
    auto const sighting = this->cold.observe(now, limit, row);
    if (!this->options.is_learned)
        return;
    auto const discovered = this->first_observed.try_emplace(service, now).first->second;
    bool const is_added =
        sighting == endpoint_sighting::first && now >= discovered + discovery_time;
    if (is_added || sighting == endpoint_sighting::restarted)
        this->starts.begin(now, row.id);
    if (this->cold.is_cold(now, row.id))
        this->cold_or_excluded.insert(row.id);
}

void endpoint_pace::restart(time_point now, endpoint_id const& endpoint)
{
    this->cold.restart(now, endpoint);
    if (this->options.is_learned)
        this->starts.begin(now, endpoint);
}

void endpoint_pace::detect_recovery(time_point now, pace_candidate const& candidate)
{
    if (candidate.is_excluded || this->cold.is_cold(now, candidate.id))
        this->cold_or_excluded.insert(candidate.id);
    else if (this->cold_or_excluded.erase(candidate.id) > 0)
        this->starts.begin(now, candidate.id);
}

double pace_share::chance() const
{
    if (!this->has_room || !this->may_open)
        return 0;
    return this->is_drawn ? std::min(1.0, this->weight / this->max_weight) : 1;
}

std::vector<bool> endpoint_pace::select(time_point now, service_name const& service,
                                        std::vector<pace_candidate> const& candidates,
                                        random_source& random)
{
    return draw(this->weigh(now, service, candidates), random);
}

std::vector<pace_share> endpoint_pace::weigh(time_point now, service_name const& service,
                                             std::vector<pace_candidate> const& candidates)
{
    std::vector<pace_share> shares(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        shares[i].is_excluded = candidates[i].is_excluded;
        shares[i].has_room = this->cold.time_until_room(now, candidates[i].id) <= duration::zero();
    }
    if (!this->options.is_learned)
        return shares;
    double open = 0;
    double max_weight = 0;
    for (auto const& candidate : candidates)
    {
        this->detect_recovery(now, candidate);
        open += static_cast<double>(this->starts.open_requests(candidate.id));
        max_weight = std::max(max_weight, this->starts.weight(now, service, candidate.id));
    }
    auto const mean_open = open / static_cast<double>(std::max<std::size_t>(1, candidates.size()));
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        shares[i].max_weight = max_weight;
        this->limit_share(now, service, candidates[i].id, mean_open, shares[i]);
    }
    return shares;
}

void endpoint_pace::limit_share(time_point now, service_name const& service,
                                endpoint_id const& endpoint, double mean_open, pace_share& share)
{
    share.weight = this->starts.weight(now, service, endpoint);
    // What a cold endpoint may get is already small.
    if (share.weight >= 1 || this->cold.is_cold(now, endpoint))
        return;
    auto const max_open = std::max(1.0, share.weight * open_factor * (mean_open + 1));
    share.may_open = static_cast<double>(this->starts.open_requests(endpoint)) < max_open;
    share.is_drawn = true;
}

std::vector<bool> endpoint_pace::draw(std::vector<pace_share> const& shares, random_source& random)
{
    std::vector<bool> selected(shares.size());
    for (std::size_t i = 0; i < shares.size(); ++i)
    {
        auto const& share = shares[i];
        bool const may_get = share.has_room && share.may_open;
        selected[i] =
            may_get && (!share.is_drawn || random.unit() * share.max_weight < share.weight);
    }
    return complete(shares, std::move(selected));
}

std::vector<bool> endpoint_pace::complete(std::vector<pace_share> const& shares,
                                          std::vector<bool> selected)
{
    for (std::size_t i = 0; i < shares.size(); ++i)
    {
        if (selected[i] && !shares[i].is_excluded)
            return selected;
    }
    for (std::size_t i = 0; i < shares.size(); ++i)
        selected[i] = shares[i].has_room;
    return selected;
}

duration endpoint_pace::time_until_room(time_point now, endpoint_id const& endpoint) const
{
    return this->cold.time_until_room(now, endpoint);
}

void endpoint_pace::record_start(time_point now, endpoint_id const& endpoint)
{
    this->cold.record_start(now, endpoint);
    if (this->options.is_learned)
        this->starts.record_start(now, endpoint);
}

void endpoint_pace::record_answer(time_point now, service_name const& service,
                                  endpoint_id const& endpoint, time_point started)
{
    this->starts.record_answer(now, service, endpoint, started);
}

void endpoint_pace::record_cold(time_point now, endpoint_id const& endpoint,
                                duration cold_remaining)
{
    this->cold.record_answer(now, endpoint, cold_remaining);
}

void endpoint_pace::record_end(time_point now, service_name const& service,
                               endpoint_id const& endpoint, time_point started, attempt_end end)
{
    this->starts.record_end(now, service, endpoint, started, end);
}

} // namespace lagoonladder::request
