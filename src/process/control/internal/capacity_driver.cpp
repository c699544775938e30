#include "capacity_driver.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace lagoonladder::control
{

namespace
{

/// Replicas are planned for the maximum demand within this time, since starting one takes seconds.
constexpr duration demand_window = seconds(10);
/// An endpoint that has not announced itself for this long has missed several heartbeats and is
/// replaced. Its lease is longer, since calls may still reach it.
constexpr duration max_announcement_age = seconds(5);
/// Within this time a new duty holder has received the endpoints of a large system.
constexpr duration initial_observation_time = seconds(3);
/// An accepted order is repeated at this interval while the number of serving replicas differs from
/// it.
constexpr duration order_repeat_interval = seconds(8);
/// A reduction is ordered only after the plan has called for it this long, so that brief changes of
/// the plan do not start and stop replicas alternately.
constexpr duration reduction_delay = seconds(6);
/// A refused order is retried after this time.
constexpr duration refusal_retry_interval = seconds(3);

/// Time over which entries average the demand; a burst above the rate is spread over it.
constexpr double demand_average_seconds = 4;

/// Fraction of each account's demand that its quota covers, for accounts above their quota.
using covered_fractions = std::map<account_id, double>;

covered_fractions find_covered_fractions(control_view const& view)
{
    std::map<account_id, double> demand;
    for (auto const& entry : view.entries)
    {
        for (auto const& [account, rate] : entry.demand)
            demand[account] += rate;
    }
    covered_fractions fractions;
    for (auto const& [name, rate] : demand)
    {
        auto const* account = view.shared->services->find_account(name);
        if (account == nullptr || !account->quota || account->quota->tokens_per_second <= 0)
            continue;
        auto const covered =
            account->quota->tokens_per_second + account->quota->burst / demand_average_seconds;
        if (rate > covered)
            fractions[name] = covered / rate;
    }
    return fractions;
}

/// Tokens per second that callers request at the entry, limited to the quotas of their accounts:
/// engines for calls that are refused would stay idle. An entry that publishes only a total has
/// left out such calls already.
double demand_of(connection::entry_record const& entry, covered_fractions const& fractions)
{
    double demand = 0;
    for (auto const& [account, rate] : entry.demand)
    {
        auto const found = fractions.find(account);
        demand += rate * (found == fractions.end() ? 1 : found->second);
    }
    return demand;
}

/// Tokens per second that callers request at all entries, within the quotas of their accounts.
double total_demand(control_view const& view)
{
    auto const fractions = find_covered_fractions(view);
    double demand = 0;
    for (auto const& entry : view.entries)
        demand += demand_of(entry, fractions);
    return demand;
}

/// Returns the requests for the service at each entry.
std::vector<version::entry_load> find_loads(control_view const& view, service_name const& service)
{
    auto const fractions = find_covered_fractions(view);
    std::vector<version::entry_load> loads;
    for (auto const& entry : view.entries)
    {
        auto& load = loads.emplace_back();
        load.demand = demand_of(entry, fractions);
        // An entry that states work, but none for this service, sends nothing to it.
        if (entry.engine_work.empty())
            continue;
        auto const found = entry.engine_work.find(service);
        load.work = found == entry.engine_work.end() ? engine_work() : found->second;
    }
    return loads;
}

void set_work_metrics(observability::metrics& metrics, service_name const& service,
                      engine_work const& work)
{
    observability::metric_labels const labels{{"service", service.value()}};
    metrics.set("engine_prefill_work", labels, work.prefill);
    metrics.set("engine_running_requests", labels, work.running);
}

std::string format_number(double value)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << value;
    return text.str();
}

/// Adds what an order by measured work is based on.
void describe_need(version::engine_need const& need, std::vector<event_field>& fields)
{
    fields.push_back({"needed_engines", format_number(need.engines)});
    fields.push_back({"engines_by_constant", format_number(need.by_constant)});
    fields.push_back({"prefill_work", format_number(need.work.prefill)});
    fields.push_back({"running", std::to_string(need.work.running)});
    fields.push_back({"decided_by", version::to_string(need.basis)});
}

/// Returns whether two versions of a service run side by side: from the start of a move until the
/// platform has stopped the endpoints of one version, which happens after the move has ended.
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

capacity_driver::capacity_driver(telemetry const& sinks, config::engine_capacity chosen)
    : events(sinks.events)
    , metrics(sinks.metrics)
    , time(sinks.time)
    , mode(chosen)
{
}

void capacity_driver::reset()
{
    this->orders.clear();
    this->announcements.clear();
    this->demands.clear();
    // Another daemon has the figures now.
    for (auto const& [service, need] : this->needs)
        set_work_metrics(this->metrics, service, {});
    this->needs.clear();
    this->held_since.reset();
    this->initial_demand = 0;
    this->has_seen_callers = false;
    ++this->epoch;
}

void capacity_driver::record_announcements(control_view const& view)
{
    auto const now = this->time.now();
    std::map<endpoint_id, announcement> present;
    for (auto const& [service, rows] : view.endpoints)
    {
        for (auto const& row : rows)
        {
            auto const previous = this->announcements.find(row.id);
            bool const is_new = previous == this->announcements.end() ||
                                previous->second.endpoint_incarnation != row.incarnation ||
                                previous->second.sequence != row.sequence;
            present[row.id] =
                is_new ? announcement{row.incarnation, row.sequence, now} : previous->second;
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
        bool const is_stale =
            now - this->announcements.at(row.id).received_at >= max_announcement_age;
        if (row.state != connection::endpoint_state::serving || is_stale)
            continue;
        auto& counts = serving[row.data_centre];
        ++(row.reclaimable ? counts.reclaimable : counts.on_demand);
    }
    return serving;
}

double capacity_driver::engine_capacity(control_view const& view) const
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

bool capacity_driver::observe_initial_demand(control_view const& view)
{
    auto const now = this->time.now();
    if (!this->held_since)
        this->held_since = now;
    this->has_seen_callers = this->has_seen_callers || total_demand(view) >= 1;
    bool const is_observing = now - *this->held_since < initial_observation_time;
    // The orders of this daemon change the number of replicas, so only those from before the first
    // order count. Once callers arrive, their demand is more accurate: on-demand and reclaimable
    // engines may overlap during a replacement.
    if (!this->has_seen_callers && (is_observing || this->initial_demand == 0))
        this->initial_demand = std::max(this->initial_demand, this->engine_capacity(view));
    return this->has_seen_callers || !is_observing;
}

double capacity_driver::peak_demand(control_view const& view)
{
    auto const now = this->time.now();
    // The demand from before this daemon held the duty is not known.
    if (this->demands.empty() || !this->has_seen_callers)
        this->demands.emplace_back(now, this->initial_demand);
    this->demands.emplace_back(now, total_demand(view));
    while (now - this->demands.front().first > demand_window)
        this->demands.pop_front();
    double peak = 0;
    for (auto const& [when, value] : this->demands)
        peak = std::max(peak, value);
    return peak;
}

version::engine_need capacity_driver::find_need(control_view const& view,
                                                version::pass_through_service const& service,
                                                double peak_demand)
{
    auto const now = this->time.now();
    auto need = version::find_engine_need(find_loads(view, service.name), service.engine_slots);
    set_work_metrics(this->metrics, service.name, need.work);
    // The rows of a new holder may be incomplete, and before callers arrive there is no work.
    bool const is_new = !this->has_seen_callers || now - *this->held_since < demand_window;
    auto const by_constant = peak_demand / version::capacity_options().tokens_per_engine;
    if (is_new && by_constant >= need.engines)
    {
        need.engines = by_constant;
        need.basis = version::need_basis::constant;
    }
    return this->needs[service.name].add(now, need);
}

void capacity_driver::step(control_view const& view, proxy::platform_duties& platform,
                           proxy::platform_duties::holder const& self)
{
    if (!view.shared || !view.shared->services)
        return;
    this->record_announcements(view);
    if (!this->observe_initial_demand(view))
        return;
    auto const demand = this->peak_demand(view);
    for (auto const& service : view.shared->services->map().services)
    {
        if (!service.scaling || !service.is_engine)
            continue;
        version::capacity_inputs inputs;
        inputs.limits = *service.scaling;
        inputs.serving = this->serving_replicas(view, service.name);
        inputs.demand = demand;
        std::optional<version::engine_need> need;
        if (this->mode == config::engine_capacity::measured)
            need = this->find_need(view, service, demand);
        // plan_capacity() divides the demand by the constant.
        if (need)
            inputs.demand = need->engines * version::capacity_options().tokens_per_engine;
        inputs.evacuated = version::evacuated_data_centres(view.shared->evacuations);
        this->forget_reductions(inputs.evacuated);
        bool const is_moving = has_two_versions(view, service.name);
        for (auto const& [data_centre, counts] : version::plan_capacity(inputs))
        {
            auto const serving = inputs.serving[data_centre];
            this->order({service.name, data_centre, true},
                        {counts.reclaimable, serving.reclaimable, demand, need, is_moving},
                        platform, self);
            this->order({service.name, data_centre, false},
                        {counts.on_demand, serving.on_demand, demand, need, is_moving}, platform,
                        self);
        }
    }
}

void capacity_driver::forget_reductions(std::set<data_centre_id> const& evacuated)
{
    for (auto& [key, state] : this->orders)
    {
        if (evacuated.contains(key.data_centre))
            state.reduction_since.reset();
    }
}

std::optional<std::uint32_t> capacity_driver::delay_reduction(order_state& state,
                                                              order_basis const& basis) const
{
    auto const now = this->time.now();
    // The orders of an earlier duty holder are not known; the serving replicas stand in for them.
    if (basis.planned >= state.accepted_replicas.value_or(basis.serving))
    {
        state.reduction_since.reset();
        return basis.planned;
    }
    if (!state.reduction_since)
        state.reduction_since = now;
    return now - *state.reduction_since >= reduction_delay ? basis.planned
                                                           : state.accepted_replicas;
}

void capacity_driver::order(order_key const& key, order_basis const& basis,
                            proxy::platform_duties& platform,
                            proxy::platform_duties::holder const& self)
{
    auto const now = this->time.now();
    auto& state = this->orders[key];
    // Both versions run during a move; the platform would release the new version's replicas as
    // surplus.
    if (basis.is_moving && basis.planned <= basis.serving)
    {
        state.reduction_since.reset();
        return;
    }
    auto const target = this->delay_reduction(state, basis);
    if (!target)
        return;
    auto const replicas = *target;
    bool const is_fulfilled = state.accepted_replicas == replicas && basis.serving == replicas;
    bool const is_ordered = state.accepted_replicas == replicas && now < state.next_attempt;
    bool const is_refused = !state.accepted_replicas && now < state.next_attempt;
    if (state.in_flight || is_fulfilled || is_ordered || is_refused)
        return;
    state.in_flight = true;
    std::vector<event_field> fields{{"service", key.service.value()},
                                    {"data_centre", key.data_centre.value()},
                                    {"kind", key.reclaimable ? "reclaimable" : "on_demand"},
                                    {"replicas", std::to_string(replicas)},
                                    {"serving", std::to_string(basis.serving)},
                                    {"demand", std::to_string(std::llround(basis.demand))}};
    if (basis.need)
        describe_need(*basis.need, fields);
    this->events.emit(severity::info, "capacity.ordered", fields);
    platform.order_capacity(
        self, {key.service, key.data_centre, replicas, key.reclaimable},
        [this, key, replicas, order_epoch = this->epoch](bool accepted)
        {
            if (order_epoch != this->epoch)
                return;
            auto& current_state = this->orders[key];
            current_state.in_flight = false;
            current_state.accepted_replicas = accepted ? std::optional(replicas) : std::nullopt;
            current_state.next_attempt =
                this->time.now() + (accepted ? order_repeat_interval : refusal_retry_interval);
            if (!accepted)
                this->events.emit(severity::warning, "capacity.refused",
                                  {{"service", key.service.value()},
                                   {"data_centre", key.data_centre.value()},
                                   {"kind", key.reclaimable ? "reclaimable" : "on_demand"},
                                   {"replicas", std::to_string(replicas)}});
        });
}

} // namespace lagoonladder::control
