#include <lagoonladder/request/start_pace.hpp>

#include <algorithm>
#include <cmath>
#include <optional>

namespace lagoonladder::request
{

namespace
{

constexpr double initial_weight = 1.0 / 16;
/// Keeps an endpoint that has failed often within reach of a few attempts.
constexpr double min_weight = 1.0 / 64;
/// Factor of the weight for an answer in time, and its inverse for a late one.
constexpr double weight_step = 2;
/// Time in which the weight doubles without answers, since an entry that sends an endpoint one
/// request in ten seconds would learn nothing.
constexpr duration doubling_time = milliseconds(400);
/// Time without growth after the first setback; doubles with each further one.
constexpr duration first_hold = milliseconds(500);
constexpr duration max_hold = seconds(4);
constexpr std::uint32_t max_hold_doublings = 3;

/// Time without requests after which the state of an endpoint is dropped.
constexpr duration max_idle = std::chrono::minutes(1);

constexpr double percentile = 0.8;
/// Relative step of the moving percentile.
constexpr double percentile_step = 0.05;
/// Number of answers before the percentile is used.
constexpr std::uint32_t min_samples = 10;
/// Prompts differ in length, so that an answer is late only well above the percentile.
constexpr double late_factor = 2;
constexpr duration late_allowance = milliseconds(20);

} // namespace

void usual_answer_time::add(duration elapsed)
{
    auto const sample = std::max(to_seconds(elapsed), 1e-4);
    if (this->samples++ == 0)
        this->percentile_seconds = sample;
    else if (sample > this->percentile_seconds)
        this->percentile_seconds *= 1 + percentile_step * percentile;
    else
        this->percentile_seconds *= 1 - percentile_step * (1 - percentile);
}

duration usual_answer_time::limit() const
{
    if (this->samples < min_samples)
        return duration::max();
    return from_seconds(late_factor * this->percentile_seconds) + late_allowance;
}

void start_pace::begin(time_point now, endpoint_id const& endpoint)
{
    auto& state = this->endpoints[endpoint];
    state.is_starting = true;
    state.weight = initial_weight;
    state.grown_until = now;
    state.held_until = now;
    state.setbacks = 0;
    state.unanswered.clear();
}

void start_pace::record_start(time_point now, endpoint_id const& endpoint)
{
    auto& state = this->endpoints[endpoint];
    ++state.open;
    state.unanswered.push_back({now, false});
}

void start_pace::record_answer(time_point now, service_name const& service,
                               endpoint_id const& endpoint, time_point started)
{
    auto const found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end())
        return;
    auto& state = found->second;
    auto& usual_time = this->services[service];
    auto const request =
        std::find_if(state.unanswered.begin(), state.unanswered.end(),
                     [&](auto const& unanswered) { return unanswered.started == started; });
    if (request == state.unanswered.end())
        return;
    if (state.is_starting)
        update(now, usual_time.limit(), state);
    bool const is_late = request->is_late;
    state.unanswered.erase(request);
    if (!state.is_starting)
        usual_time.add(now - started);
    else if (!is_late)
        raise(now, state);
}

void start_pace::record_end(time_point now, service_name const& service,
                            endpoint_id const& endpoint, time_point started, attempt_end end)
{
    auto const found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end() || found->second.open == 0)
        return;
    auto& state = found->second;
    --state.open;
    if (state.is_starting)
        update(now, this->services[service].limit(), state);
    auto const request =
        std::find_if(state.unanswered.begin(), state.unanswered.end(),
                     [&](auto const& unanswered) { return unanswered.started == started; });
    bool const was_late = request != state.unanswered.end() && request->is_late;
    if (request != state.unanswered.end())
        state.unanswered.erase(request);
    if (state.is_starting && end != attempt_end::neutral && !was_late)
        reduce(now, state);
    this->remove_if_unused(endpoint);
}

double start_pace::weight(time_point now, service_name const& service, endpoint_id const& endpoint)
{
    auto const found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end() || !found->second.is_starting)
        return 1;
    update(now, this->services[service].limit(), found->second);
    auto const weight = found->second.weight;
    this->remove_if_unused(endpoint);
    return weight;
}

std::size_t start_pace::open_requests(endpoint_id const& endpoint) const
{
    auto const found = this->endpoints.find(endpoint);
    return found == this->endpoints.end() ? 0 : found->second.open;
}

std::size_t start_pace::starting_endpoints() const
{
    return static_cast<std::size_t>(std::count_if(this->endpoints.begin(), this->endpoints.end(),
                                                  [](auto const& item)
                                                  { return item.second.is_starting; }));
}

void start_pace::expire(time_point now)
{
    std::erase_if(this->endpoints, [&](auto const& item)
                  { return item.second.open == 0 && item.second.grown_until + max_idle <= now; });
}

void start_pace::update(time_point now, duration limit, endpoint_state& state)
{
    bool is_waiting_for_late_answer = false;
    for (auto& request : state.unanswered)
    {
        bool const is_newly_late = !request.is_late && now - request.started > limit;
        request.is_late = request.is_late || is_newly_late;
        if (is_newly_late)
            reduce(now, state);
        is_waiting_for_late_answer = is_waiting_for_late_answer || request.is_late;
    }
    auto const growth_start = std::max(state.grown_until, state.held_until);
    state.grown_until = std::max(state.grown_until, now);
    if (is_waiting_for_late_answer || now <= growth_start)
        return;
    state.weight *= std::exp2(to_seconds(now - growth_start) / to_seconds(doubling_time));
    if (state.weight < 1)
        return;
    state.weight = 1;
    state.is_starting = false;
}

void start_pace::reduce(time_point now, endpoint_state& state)
{
    state.weight = std::max(min_weight, state.weight / weight_step);
    auto const doublings = std::min(state.setbacks, max_hold_doublings);
    state.held_until = now + std::min<duration>(first_hold * (1 << doublings), max_hold);
    ++state.setbacks;
}

void start_pace::raise(time_point now, endpoint_state& state)
{
    state.weight = std::min(1.0, state.weight * weight_step);
    state.held_until = now;
    state.setbacks = 0;
    state.is_starting = state.weight < 1;
}

void start_pace::remove_if_unused(endpoint_id const& endpoint)
{
    auto const found = this->endpoints.find(endpoint);
    if (found != this->endpoints.end() && !found->second.is_starting && found->second.open == 0)
        this->endpoints.erase(found);
}

} // namespace lagoonladder::request
