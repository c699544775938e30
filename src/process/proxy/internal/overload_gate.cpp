#include "overload_gate.hpp"

#include <algorithm>

#include "call_timing.hpp"

namespace lagoonladder::proxy
{

namespace
{

/// Interval at which the load of the engines of a group of calls is summed up. Calls of the group
/// that come within it are decided on by the same load.
constexpr duration load_interval = milliseconds(50);
/// The wait is that of the engine at this fraction of the engines, the least busy one first: a
/// single engine may be idle because it fails, and most calls cannot go to it.
constexpr std::size_t wait_rank_divisor = 4;
/// Weight of a new sample in the moving average of the time of a call.
constexpr double sample_weight = 0.05;
/// Time without a refusal after which a shortage is over.
constexpr duration shortage_end = seconds(5);

/// Time that a call waits at an engine for a slot.
duration slot_wait(connection::endpoint_record const& engine, double load, duration call_time)
{
    auto const slots = std::max<double>(1, engine.load.slots);
    auto const ahead = std::max<double>(engine.load.waiting, load + 1 - slots);
    return ahead > 0 ? from_seconds(to_seconds(call_time) * ahead / slots) : duration(0);
}

struct engine_wait
{
    duration wait{};
    endpoint_id const* engine = nullptr;
};

duration earliest_prefill(time_point now, traffic_view const& view, incoming_call const& call,
                          call_admission const& admission, endpoint_chooser const& chooser)
{
    auto earliest = duration::max();
    for (auto const* engine : usable_endpoints(view, admission.service, call.id, call.regions))
        earliest = std::min(earliest, chooser.prefill_time(now, engine->id, call.prompt));
    return earliest;
}

std::string milliseconds_text(duration value)
{
    return std::to_string(value / milliseconds(1));
}

} // namespace

overload_gate::overload_gate(call_proxy::dependencies const& injected, bool is_switched_on)
    : events(injected.events)
    , metrics(injected.metrics)
    , is_on(is_switched_on)
{
}

overload_gate::service_state* overload_gate::find_state(call_admission const& admission)
{
    if (!this->is_on || !admission.services)
        return nullptr;
    auto const* service = admission.services->find_service(admission.service);
    if (service == nullptr || !service->is_engine)
        return nullptr;
    return &this->services[admission.service];
}

void overload_gate::check(time_point now, traffic_view const& view, incoming_call const& call,
                          endpoint_chooser const& chooser, random_source& random,
                          call_admission& admission)
{
    auto* const state = this->find_state(admission);
    if (state == nullptr)
        return;
    auto const& group = this->find_load(now, view, call, admission, chooser, *state);
    state->last_load = group.load;
    // Without an engine, the choice of the endpoint refuses the call.
    if (group.load.slots <= 0)
        return;
    request::overload_query query;
    if (admission.account != nullptr)
        query.account = admission.account->name;
    query.route = admission.route->name;
    query.regions = call.regions;
    query.priority = effective_priority(*admission.route, admission.account);
    query.latency_objective = admission.route->latency_objective;
    query.time_left = admission.deadline - now;
    query.load = group.load;
    query.first_event = chooser.prefill_time(now, group.least_busy, call.prompt);
    // Another engine may have cached a part of the prompt.
    if (query.first_event > query.time_left)
        query.first_event = earliest_prefill(now, view, call, admission, chooser);
    auto const decision = state->decisions.decide(now, query, random);
    this->report(now, admission.service, *state, group.load, decision);
    if (!decision.is_refused())
    {
        admission.counted = {now, query.account, query.priority, query.regions};
        return;
    }
    admission.reason = refusal::no_capacity;
    admission.retry_after = decision.retry_after;
    admission.capacity_detail = {{"cause", to_string(decision.outcome)},
                                 {"priority", std::to_string(query.priority)},
                                 {"wait_ms", milliseconds_text(query.load.wait)},
                                 {"wait_limit_ms", milliseconds_text(decision.wait_limit)},
                                 {"first_event_ms", milliseconds_text(query.first_event)},
                                 {"slots", std::to_string(query.load.slots)},
                                 {"running", std::to_string(query.load.running)},
                                 {"waiting", std::to_string(query.load.waiting)},
                                 {"retry_after", format_duration(decision.retry_after)}};
}

overload_gate::group_load const& overload_gate::find_load(time_point now, traffic_view const& view,
                                                          incoming_call const& call,
                                                          call_admission const& admission,
                                                          endpoint_chooser const& chooser,
                                                          service_state& state) const
{
    auto const split = view.splits.find(admission.service);
    bool const has_move = split != view.splits.end() && !split->second.candidate.value().empty();
    bool const is_candidate = has_move && split->second.choose(call.id) == split->second.candidate;
    auto& group = state.loads[{call.regions, is_candidate}];
    if (now >= group.updated + load_interval)
        group = this->sum_load(now, view, call, admission, chooser, state.call_time);
    return group;
}

overload_gate::group_load overload_gate::sum_load(time_point now, traffic_view const& view,
                                                  incoming_call const& call,
                                                  call_admission const& admission,
                                                  endpoint_chooser const& chooser,
                                                  duration call_time) const
{
    group_load group;
    group.updated = now;
    std::vector<engine_wait> waits;
    // Cold engines count with all their slots; the choice of the endpoint may still refuse the
    // call.
    for (auto const* engine : usable_endpoints(view, admission.service, call.id, call.regions))
    {
        auto const load = chooser.load(now, engine->id);
        auto const slots = std::max<double>(1, engine->load.slots);
        group.load.slots += slots;
        group.load.running += std::min(slots, load);
        group.load.waiting += std::max<double>(engine->load.waiting, load - slots);
        waits.push_back({std::max(slot_wait(*engine, load, call_time),
                                  chooser.prefill_time(now, engine->id, {})),
                         &engine->id});
    }
    if (waits.empty())
        return group;
    std::sort(waits.begin(), waits.end(),
              [](auto const& left, auto const& right) { return left.wait < right.wait; });
    group.load.wait = waits[(waits.size() - 1) / wait_rank_divisor].wait;
    group.least_busy = *waits.front().engine;
    return group;
}

void overload_gate::report(time_point now, service_name const& service, service_state& state,
                           request::service_load const& load,
                           request::overload_decision const& decision)
{
    this->metrics.add("overload_decisions_total",
                      {{"service", service.value()}, {"outcome", to_string(decision.outcome)}});
    this->metrics.set("overload_wait_seconds", {{"service", service.value()}},
                      to_seconds(load.wait));
    bool const is_over = state.last_refusal && now > *state.last_refusal + shortage_end;
    if (is_over)
    {
        state.last_refusal.reset();
        this->events.emit(severity::info, "overload.ended", {{"service", service.value()}});
    }
    if (!decision.is_refused())
        return;
    if (!std::exchange(state.last_refusal, now))
        this->events.emit(severity::info, "overload.started",
                          {{"service", service.value()},
                           {"cause", to_string(decision.outcome)},
                           {"slots", std::to_string(load.slots)},
                           {"running", std::to_string(load.running)},
                           {"waiting", std::to_string(load.waiting)},
                           {"wait_ms", milliseconds_text(load.wait)}});
}

void overload_gate::withdraw(time_point now, call_admission const& admission)
{
    if (admission.counted)
        this->services[admission.service].decisions.withdraw(now, *admission.counted);
}

void overload_gate::record_failure(time_point now, call_admission const& admission)
{
    if (admission.counted)
        this->services[admission.service].decisions.record_failure(now, *admission.counted);
}

void overload_gate::call_ended(service_name const& service, duration elapsed)
{
    auto const found = this->services.find(service);
    if (found == this->services.end())
        return;
    auto& average = found->second.call_time;
    average += from_seconds(sample_weight * to_seconds(elapsed - average));
}

duration overload_gate::spread_retry(time_point now, call_admission const& admission,
                                     request::call_regions const& regions, duration wait,
                                     random_source& random)
{
    auto* const state = admission.route != nullptr ? this->find_state(admission) : nullptr;
    if (state == nullptr)
        return wait;
    auto const priority = effective_priority(*admission.route, admission.account);
    return state->decisions.retry_after(now, regions, priority, wait, admission.deadline - now,
                                        random);
}

} // namespace lagoonladder::proxy
