#include <lagoonladder/request/admission.hpp>

#include <algorithm>
#include <cmath>

namespace lagoonladder::request
{

namespace
{

/// Retry times are spread by up to this fraction, so that refused callers do not return at the same
/// time.
constexpr double retry_spread = 0.25;
constexpr double max_wait_seconds = 24 * 3600;

} // namespace

char const* to_string(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::predicted_wait:
        return "predicted_wait";
    case refusal_reason::queue_full:
        return "queue_full";
    case refusal_reason::deadline:
        return "deadline";
    case refusal_reason::duplicate:
        return "duplicate";
    }
    return "invalid";
}

admission_queue::admission_queue(admission_options initial)
    : options(initial)
    , rate(initial.initial_rate, initial.rate_window)
    , trend(initial.trend)
{
    invariant(initial.aged_draft_share < 1, "aged drafts get less than all of the work");
}

admission_result admission_queue::offer(time_point now, queued_request request)
{
    this->advance(now);
    auto& queue = this->queue_of(request.priority);
    auto const wait =
        this->wait_for(request.priority, queue.work_ahead(request.account, request.weight));
    auto const time_left = request.deadline - now;
    auto const refuse = [&](refusal_reason reason, duration acceptable_wait)
    {
        auto const after = this->retry_after(wait, acceptable_wait, request.request_id);
        return queue_refusal{request.request_id, after, reason};
    };
    if (this->queued_ids.contains(request.request_id))
        return refuse(refusal_reason::duplicate, time_left);
    if (time_left <= duration::zero())
        return refuse(refusal_reason::deadline, duration::zero());
    auto const max_wait = from_seconds(to_seconds(time_left) * this->options.max_wait_fraction);
    if (wait > max_wait)
        return refuse(refusal_reason::predicted_wait, max_wait);
    if (!this->has_place(request))
        return refuse(refusal_reason::queue_full, wait / 2);
    request.arrived = now;
    if (request.priority == request_priority::interactive)
        this->recent_interactive_work += request.expected_work;
    this->queued_ids.emplace(request.request_id, std::make_pair(request.priority, request.account));
    queue.push(std::move(request));
    return queue_acceptance{wait};
}

std::optional<queued_request> admission_queue::take(time_point now)
{
    this->advance(now);
    while (this->size() > 0)
    {
        // If any request waited, all slots were busy, even if this request did not wait.
        auto const waited = this->oldest_age(now);
        auto& queue = this->is_draft_next(now) ? this->drafts : this->interactive;
        auto request = queue.pop();
        this->queued_ids.erase(request->request_id);
        if (request->deadline <= now)
        {
            this->give_up(*request, refusal_reason::deadline);
            continue;
        }
        this->charge_draft_share(now, *request);
        this->rate.taken(request->expected_work, waited);
        return request;
    }
    return std::nullopt;
}

std::vector<queue_refusal> admission_queue::expire(time_point now)
{
    this->advance(now);
    this->expire_queue(now, request_priority::interactive);
    this->expire_queue(now, request_priority::draft);
    return std::exchange(this->given_up, {});
}

bool admission_queue::cancel(time_point now, request_id const& id)
{
    this->advance(now);
    auto const found = this->queued_ids.find(id);
    if (found == this->queued_ids.end())
        return false;
    auto const [priority, account] = found->second;
    this->queued_ids.erase(found);
    return this->queue_of(priority).erase(account, id);
}

duration admission_queue::oldest_age(time_point now) const
{
    auto oldest = now;
    for (auto const* queue : {&this->interactive, &this->drafts})
        oldest = std::min(oldest, queue->oldest_arrival().value_or(now));
    return now - oldest;
}

duration admission_queue::predicted_wait(request_priority priority) const
{
    return this->wait_for(priority, this->queue_of(priority).work_ahead(account_id(), 1));
}

std::optional<queue_trend> admission_queue::observe(time_point now)
{
    this->advance(now);
    auto const work = this->interactive.work() + this->drafts.work();
    auto const drain_time = std::min(work / this->rate.value(), max_wait_seconds);
    return this->trend.observe(now, this->oldest_age(now), from_seconds(drain_time), this->size());
}

fair_queue& admission_queue::queue_of(request_priority priority)
{
    return priority == request_priority::draft ? this->drafts : this->interactive;
}

fair_queue const& admission_queue::queue_of(request_priority priority) const
{
    return priority == request_priority::draft ? this->drafts : this->interactive;
}

void admission_queue::advance(time_point now)
{
    auto const step = this->last_advance ? to_seconds(now - *this->last_advance) : 0.0;
    this->recent_interactive_work *= std::exp(-step / to_seconds(this->options.rate_window));
    this->last_advance = now;
    auto const waiting_since = now - this->oldest_age(now);
    this->rate.advance(now, this->size() > 0 ? std::optional(waiting_since) : std::nullopt);
}

duration admission_queue::wait_for(request_priority priority, double work_ahead) const
{
    auto const total_rate = this->rate.value();
    auto const draft_rate = total_rate * this->options.aged_draft_share;
    if (priority == request_priority::interactive)
    {
        auto const interactive_rate =
            this->drafts.size() > 0 ? total_rate - draft_rate : total_rate;
        return from_seconds(std::min(work_ahead / interactive_rate, max_wait_seconds));
    }
    auto const arrival_rate = this->recent_interactive_work / to_seconds(this->options.rate_window);
    auto const remaining_rate = std::max(draft_rate, total_rate - arrival_rate);
    auto const wait = this->interactive.work() / total_rate + work_ahead / remaining_rate;
    return from_seconds(std::min(wait, max_wait_seconds));
}

duration admission_queue::retry_after(duration wait, duration acceptable_wait,
                                      request_id const& id) const
{
    auto const min_delay = this->options.min_retry_after;
    auto const after =
        std::clamp<duration>(wait - acceptable_wait, min_delay, this->options.max_retry_after);
    auto const spread = static_cast<double>(stable_hash(id.value()) % 1024) / 1024 * retry_spread;
    return from_seconds(to_seconds(after) * (1 + spread));
}

bool admission_queue::has_place(queued_request const& request) const
{
    auto const capacity = this->options.max_length;
    auto const free_places = capacity - std::min(capacity, this->size());
    if (request.priority == request_priority::interactive)
        return this->interactive.has_place(request.account, request.weight, free_places);
    auto const max_drafts = static_cast<double>(capacity) * this->options.max_draft_fraction;
    auto const draft_places = static_cast<std::size_t>(max_drafts);
    auto const free_draft_places = draft_places - std::min(draft_places, this->drafts.size());
    return this->drafts.has_place(request.account, request.weight,
                                  std::min(free_draft_places, free_places));
}

bool admission_queue::has_aged_draft(time_point now) const
{
    auto const is_aged = [&](queued_request const& request)
    {
        auto const age = now - request.arrived;
        auto const total_seconds = to_seconds(request.deadline - request.arrived);
        return age >= this->options.draft_ageing &&
               to_seconds(age) >= total_seconds * this->options.draft_ageing_share;
    };
    return this->drafts.any_first(is_aged);
}

bool admission_queue::is_draft_next(time_point now) const
{
    if (this->drafts.size() == 0 || this->interactive.size() == 0)
        return this->interactive.size() == 0;
    return this->has_aged_draft(now) && this->draft_credit >= this->drafts.front()->expected_work;
}

void admission_queue::charge_draft_share(time_point now, queued_request const& taken)
{
    auto const share = this->options.aged_draft_share;
    if (taken.priority == request_priority::draft)
        this->draft_credit = std::max(0.0, this->draft_credit - taken.expected_work);
    else if (this->has_aged_draft(now))
        this->draft_credit += taken.expected_work * share / (1 - share);
    else
        this->draft_credit = 0;
}

void admission_queue::expire_queue(time_point now, request_priority priority)
{
    auto const misses_deadline = [&](queued_request const& request, double work_ahead)
    {
        auto const seconds_left = to_seconds(request.deadline - now);
        auto const wait = to_seconds(this->wait_for(priority, work_ahead));
        return seconds_left <= 0 || wait > seconds_left * this->options.give_up_factor;
    };
    for (auto const& request : this->queue_of(priority).erase_if(misses_deadline))
    {
        this->queued_ids.erase(request.request_id);
        this->give_up(request, refusal_reason::deadline);
    }
}

void admission_queue::give_up(queued_request const& request, refusal_reason reason)
{
    auto const& queue = this->queue_of(request.priority);
    auto const wait =
        this->wait_for(request.priority, queue.work_ahead(request.account, request.weight));
    auto const after =
        this->retry_after(wait, request.deadline - request.arrived, request.request_id);
    this->given_up.push_back({request.request_id, after, reason});
}

} // namespace lagoonladder::request
