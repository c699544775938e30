#include <lagoonladder/request/cold_bound.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace lagoonladder::request
{

namespace
{

/// Groups of entries that may send at the same time without knowing of each other.
constexpr double concurrent_groups = 2;
constexpr std::size_t max_holders = 8;
/// Part of the rate that a larger number of holders may leave unused.
constexpr double min_used_fraction = 0.9;
/// Rounds without an observation after which the state of an endpoint is dropped.
constexpr std::uint64_t max_absent_rounds = 600;

/// Returns the requests per second of one of `holders`, which never sends more than a whole number
/// of requests in any second.
double holder_rate(double rate, double group_bound, std::size_t holders)
{
    auto const count = static_cast<double>(holders);
    return std::min(std::floor(group_bound / count), rate / count);
}

} // namespace

cold_portions plan_cold_portions(double rate, cold_tolerance const& tolerance, std::size_t entries)
{
    auto const group_bound = (rate * tolerance.overshoot + tolerance.slack) / concurrent_groups;
    std::size_t best = 0;
    double best_total = 0;
    for (std::size_t holders = 1; holders <= std::min(entries, max_holders); ++holders)
    {
        auto const total = static_cast<double>(holders) * holder_rate(rate, group_bound, holders);
        if (total > 0 && (total >= min_used_fraction * rate || total > best_total))
        {
            best = holders;
            best_total = total;
        }
    }
    if (best == 0)
        return {};
    auto const interval = 1e6 / holder_rate(rate, group_bound, best);
    return {best, microseconds(static_cast<std::int64_t>(std::ceil(interval)))};
}

cold_bound::cold_bound(cold_tolerance const& allowed, time_point process_start)
    : tolerance(allowed)
    , holds_from(process_start + settle_time)
{
}

void cold_bound::set_entries(std::vector<vm_id> const& serving_entries, vm_id const& own_entry,
                             bool may_accrue)
{
    this->may_use_portions = may_accrue;
    if (this->entries == serving_entries && this->own == own_entry)
        return;
    this->entries = serving_entries;
    this->own = own_entry;
    ++this->membership;
}

void cold_bound::begin_round()
{
    ++this->round;
    if (this->round % max_absent_rounds != 0)
        return;
    std::erase_if(this->endpoints, [&](auto const& item)
                  { return item.second.round + max_absent_rounds < this->round; });
}

endpoint_sighting cold_bound::observe(time_point now, cold_limit const& limit,
                                      endpoint_statement const& row)
{
    auto const [position, is_new] = this->endpoints.try_emplace(row.id);
    auto& state = position->second;
    bool const was_absent = state.round + 1 < this->round;
    bool const is_restarted = was_absent || state.incarnation != row.incarnation;
    bool const is_newly_limited = state.limit.rate <= 0 && limit.rate > 0;
    state.round = this->round;
    state.limit = limit;
    if (is_new || is_restarted || is_newly_limited)
        begin(now, state, row);
    else if (row.sequence > state.sequence)
        accept(now, state, row);
    this->update_portion(now, row.id, state);
    if (is_new)
        return endpoint_sighting::first;
    return is_restarted ? endpoint_sighting::restarted : endpoint_sighting::known;
}

void cold_bound::begin(time_point now, endpoint_state& state, endpoint_statement const& row)
{
    state.incarnation = row.incarnation;
    state.sequence = row.sequence;
    state.rows_trusted_from = {};
    state.has_portion = false;
    state.cold_until = now + row.cold_remaining.value_or(state.limit.time);
}

void cold_bound::set_cold_until(time_point now, endpoint_state& state, time_point until)
{
    // A portion of an earlier cold time has room at once; the new one begins empty.
    if (state.cold_until <= now)
        state.has_portion = false;
    state.cold_until = until;
}

void cold_bound::accept(time_point now, endpoint_state& state, endpoint_statement const& row)
{
    state.sequence = row.sequence;
    if (!row.cold_remaining)
        return;
    auto const stated_until = now + *row.cold_remaining;
    if (stated_until > state.cold_until || now >= state.rows_trusted_from)
        set_cold_until(now, state, stated_until);
}

void cold_bound::record_answer(time_point now, endpoint_id const& endpoint, duration cold_remaining)
{
    auto const found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end())
        return;
    auto& state = found->second;
    set_cold_until(now, state, now + cold_remaining);
    state.rows_trusted_from = now + max_report_delay;
    this->update_portion(now, endpoint, state);
}

void cold_bound::restart(time_point now, endpoint_id const& endpoint)
{
    auto const found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end())
        return;
    auto& state = found->second;
    set_cold_until(now, state, std::max(state.cold_until, now + state.limit.time));
    state.rows_trusted_from = now + max_report_delay;
    this->update_portion(now, endpoint, state);
}

void cold_bound::record_start(time_point now, endpoint_id const& endpoint)
{
    auto const found = this->endpoints.find(endpoint);
    if (found != this->endpoints.end() && found->second.has_portion)
        found->second.room_from = now + this->portions(found->second).interval;
}

bool cold_bound::is_cold(time_point now, endpoint_id const& endpoint) const
{
    auto const found = this->endpoints.find(endpoint);
    return found != this->endpoints.end() && found->second.cold_until > now;
}

duration cold_bound::time_until_room(time_point now, endpoint_id const& endpoint) const
{
    auto const found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end() || found->second.cold_until <= now)
        return duration::zero();
    auto const& state = found->second;
    auto const cold_time = state.cold_until - now;
    if (state.has_portion)
        return std::clamp<duration>(state.room_from - now, duration::zero(), duration(cold_time));
    auto const interval = this->portions(state).interval;
    return interval > duration::zero() ? std::min<duration>(interval, cold_time) : cold_time;
}

std::size_t cold_bound::cold_endpoints(time_point now) const
{
    auto const count = std::count_if(this->endpoints.begin(), this->endpoints.end(),
                                     [&](auto const& item) {
                                         return item.second.cold_until > now &&
                                                item.second.round + 1 >= this->round;
                                     });
    return static_cast<std::size_t>(count);
}

cold_portions cold_bound::portions(endpoint_state const& state) const
{
    return plan_cold_portions(state.limit.rate, this->tolerance, this->entries.size());
}

void cold_bound::update_portion(time_point now, endpoint_id const& endpoint, endpoint_state& state)
{
    if (state.limit.rate <= 0)
        state.cold_until = {};
    if (state.cold_until <= now)
    {
        state.has_portion = false;
        return;
    }
    auto const planned = this->portions(state);
    this->update_rank(endpoint, state);
    bool const is_holder = state.rank && *state.rank < planned.holders;
    bool const may_hold = is_holder && this->may_use_portions && now >= this->holds_from;
    if (may_hold == std::exchange(state.has_portion, may_hold) || !may_hold)
        return;
    // The holders begin one after the other, so that their requests are spread.
    auto const first_wait = planned.interval * static_cast<std::int64_t>(*state.rank + 1) /
                            static_cast<std::int64_t>(planned.holders);
    state.room_from = std::max(state.room_from, now + first_wait);
}

void cold_bound::update_rank(endpoint_id const& endpoint, endpoint_state& state) const
{
    if (state.ranked_membership == this->membership)
        return;
    state.ranked_membership = this->membership;
    state.rank.reset();
    if (std::find(this->entries.begin(), this->entries.end(), this->own) == this->entries.end())
        return;
    auto const seed = stable_hash(endpoint.value());
    auto const own_score = stable_hash(this->own.value(), seed);
    auto const precedes_own = [&](vm_id const& entry)
    {
        auto const score = stable_hash(entry.value(), seed);
        return std::tie(score, entry) > std::tie(own_score, this->own);
    };
    state.rank = static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(), precedes_own));
}

} // namespace lagoonladder::request
