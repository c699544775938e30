#include "capacity_driver.hpp"

#include <algorithm>
#include <cmath>

namespace lagoonladder::control
{

namespace
{

/// Replicas are kept for the largest demand within this time, since starts take seconds.
constexpr duration demand_memory = seconds(10);
/// An endpoint that did not announce itself for this long is replaced; it has missed several
/// heartbeats. Its lease is longer, since calls may still reach it.
constexpr duration announcement_age = seconds(5);
/// A new holder hears of the endpoints of a large system within this time.
constexpr duration settling_time = seconds(3);
/// An order is repeated while the number of replicas differs from it.
constexpr duration repeat_interval = seconds(8);
/// A replica that was started is kept at least this long, so that short changes of the
/// plan do not start and stop replicas in turn.
constexpr duration lowering_delay = seconds(6);
constexpr duration refused_interval = seconds(3);

/// Tokens a second that callers ask for at all entries.
double asked_for(control_view const& view)
{
    double demand = 0;
    for (auto const& entry : view.entries)
    {
        for (auto const& [account, rate] : entry.demand)
            demand += rate;
    }
    return demand;
}

/// Both versions serve from the order of a move until the platform has stopped the endpoints
/// of one, which is after the move has ended.
bool has_two_versions(control_view const& view, service_name const& service)
{
    auto const& moves = view.shared->moves;
    bool const is_moving = std::any_of(moves.begin(), moves.end(),
                                       [&](version::move_record const& move) {
                                           return move.service == service &&
                                                  move.state == version::move_state::running;
                                       });
    auto const found = view.endpoints.find(service);
    if (is_moving || found == view.endpoints.end())
        return is_moving;
    auto const& rows = found->second;
    return std::any_of(rows.begin(), rows.end(),
                       [&](auto const& row) { return row.version != rows.front().version; });
}

} // namespace

capacity_driver::capacity_driver(event_sink& log, clock const& time_source)
    : events(log)
    , time(time_source)
{
}

void capacity_driver::reset()
{
    this->orders.clear();
    this->announcements.clear();
    this->demands.clear();
    this->held_since.reset();
    this->initial_demand = 0;
    this->callers_came = false;
    ++this->epoch;
}

void capacity_driver::watch(control_view const& view)
{
    auto const now = this->time.now();
    std::map<endpoint_id, announcement> present;
    for (auto const& [service, rows] : view.endpoints)
    {
        for (auto const& row : rows)
        {
            auto const known = this->announcements.find(row.id);
            bool const is_new = known == this->announcements.end() ||
                                known->second.start != row.incarnation ||
                                known->second.sequence != row.sequence;
            present[row.id] =
                is_new ? announcement{row.incarnation, row.sequence, now} : known->second;
        }
    }
    this->announcements = std::move(present);
}

version::capacity_by_data_centre
capacity_driver::serving_replicas(control_view const& view, service_name const& service) const
{
    version::capacity_by_data_centre serving;
    auto const found = view.endpoints.find(service);
    if (found == view.endpoints.end())
        return serving;
    auto const now = this->time.now();
    for (auto const& row : found->second)
    {
        bool const is_silent = now - this->announcements.at(row.id).seen >= announcement_age;
        if (row.state != connection::endpoint_state::serving || is_silent)
            continue;
        auto& counts = serving[row.data_centre];
        ++(row.reclaimable ? counts.reclaimable : counts.on_demand);
    }
    return serving;
}

double capacity_driver::served_by_engines(control_view const& view) const
{
    std::uint32_t engines = 0;
    for (auto const& service : view.shared->services->map().services)
    {
        if (!service.scaling || !service.is_engine)
            continue;
        for (auto const& [data_centre, counts] : this->serving_replicas(view, service.name))
            engines += counts.on_demand + counts.reclaimable;
    }
    return engines * version::capacity_options().tokens_per_engine;
}

bool capacity_driver::settle(control_view const& view)
{
    auto const now = this->time.now();
    if (!this->held_since)
        this->held_since = now;
    this->callers_came = this->callers_came || asked_for(view) >= 1;
    bool const is_settling = now - *this->held_since < settling_time;
    // Own orders change the replicas, so only those from before the first order count. Once
    // there are callers, their demand tells more: engines of two kinds may overlap.
    if (!this->callers_came && (is_settling || this->initial_demand == 0))
        this->initial_demand = std::max(this->initial_demand, this->served_by_engines(view));
    return this->callers_came || !is_settling;
}

double capacity_driver::peak_demand(control_view const& view)
{
    auto const now = this->time.now();
    // What was asked for before this daemon held the duty is not known.
    if (this->demands.empty() || !this->callers_came)
        this->demands.emplace_back(now, this->initial_demand);
    this->demands.emplace_back(now, asked_for(view));
    while (now - this->demands.front().first > demand_memory)
        this->demands.pop_front();
    double peak = 0;
    for (auto const& [when, value] : this->demands)
        peak = std::max(peak, value);
    return peak;
}

void capacity_driver::step(control_view const& view, proxy::platform_duties& platform,
                           proxy::platform_duties::holder const& self)
{
    if (!view.shared || !view.shared->services)
        return;
    this->watch(view);
    if (!this->settle(view))
        return;
    auto const demand = this->peak_demand(view);
    for (auto const& service : view.shared->services->map().services)
    {
        if (!service.scaling || !service.is_engine)
            continue;
        version::capacity_inputs now;
        now.limits = *service.scaling;
        now.serving = this->serving_replicas(view, service.name);
        now.demand = demand;
        bool const moves = has_two_versions(view, service.name);
        for (auto const& [data_centre, counts] : version::plan_capacity(now))
        {
            auto const serving = now.serving[data_centre];
            this->order({service.name, data_centre, true},
                        {counts.reclaimable, serving.reclaimable, demand, moves}, platform, self);
            this->order({service.name, data_centre, false},
                        {counts.on_demand, serving.on_demand, demand, moves}, platform, self);
        }
    }
}

std::optional<std::uint32_t> capacity_driver::hold_down(order_state& state,
                                                        order_basis const& basis) const
{
    auto const now = this->time.now();
    // What an earlier holder ordered is not known, but what serves is.
    if (basis.planned >= state.accepted.value_or(basis.serving))
    {
        state.lower_since.reset();
        return basis.planned;
    }
    if (!state.lower_since)
        state.lower_since = now;
    return now - *state.lower_since >= lowering_delay ? basis.planned : state.accepted;
}

void capacity_driver::order(order_key const& key, order_basis const& basis,
                            proxy::platform_duties& platform,
                            proxy::platform_duties::holder const& self)
{
    auto const now = this->time.now();
    auto& state = this->orders[key];
    // Both versions run side by side during a move; the platform would release the new one.
    if (basis.is_moving && basis.planned <= basis.serving)
    {
        state.lower_since.reset();
        return;
    }
    auto const held = this->hold_down(state, basis);
    if (!held)
        return;
    auto const replicas = *held;
    bool const is_settled = state.accepted == replicas && basis.serving == replicas;
    bool const was_ordered = state.accepted == replicas && now < state.next_try;
    bool const is_refused = !state.accepted && now < state.next_try;
    if (state.in_flight || is_settled || was_ordered || is_refused)
        return;
    state.in_flight = true;
    this->events.emit(severity::info, "capacity.ordered",
                      {{"service", key.service.value()},
                       {"data_centre", key.data_centre.value()},
                       {"kind", key.reclaimable ? "reclaimable" : "on_demand"},
                       {"replicas", std::to_string(replicas)},
                       {"serving", std::to_string(basis.serving)},
                       {"demand", std::to_string(std::llround(basis.demand))}});
    platform.order_capacity(
        self, {key.service, key.data_centre, replicas, key.reclaimable},
        [this, key, replicas, began = this->epoch](bool accepted)
        {
            if (began != this->epoch)
                return;
            auto& known = this->orders[key];
            known.in_flight = false;
            known.accepted = accepted ? std::optional(replicas) : std::nullopt;
            known.next_try = this->time.now() + (accepted ? repeat_interval : refused_interval);
            if (!accepted)
                this->events.emit(severity::warning, "capacity.refused",
                                  {{"service", key.service.value()},
                                   {"data_centre", key.data_centre.value()},
                                   {"kind", key.reclaimable ? "reclaimable" : "on_demand"},
                                   {"replicas", std::to_string(replicas)}});
        });
}

} // namespace lagoonladder::control
