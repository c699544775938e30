#include <lagoonladder/request/engine_work_counter.hpp>

#include <cmath>

namespace lagoonladder::request
{

namespace
{

/// Time constant of the averages, in seconds; the same as that of the demand of accounts, so that
/// both describe the same requests.
constexpr double time_constant = 4;

double decay(duration age)
{
    return std::exp(-to_seconds(age) / time_constant);
}

} // namespace

duration prefill_work(prompt_backlog const& backlog, time_point now, endpoint_id const& engine,
                      prompt_parts const& prompt)
{
    auto const work =
        backlog.prefill_time(now, engine, prompt) - backlog.prefill_time(now, engine, {});
    return from_seconds(to_seconds(work) * backlog.speeds().deviation(now, engine, work));
}

void engine_work_counter::prompt_sent(time_point now, service_name const& service, duration prefill)
{
    auto& state = this->services[service];
    auto const factor = decay(now - state.updated);
    state.prefill = state.prefill * factor + to_seconds(prefill);
    state.prompts = state.prompts * factor + 1;
    state.updated = now;
}

void engine_work_counter::request_ended(service_name const& service)
{
    auto& running = this->services[service].running;
    running -= running > 0 ? 1 : 0;
}

engine_work_by_service engine_work_counter::work(time_point now) const
{
    engine_work_by_service result;
    for (auto const& [service, state] : this->services)
    {
        auto const factor = decay(now - state.updated) / time_constant;
        result[service] = {state.prefill * factor, state.prompts * factor, state.running};
    }
    return result;
}

} // namespace lagoonladder::request
