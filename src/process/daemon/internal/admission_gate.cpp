#include <admission_gate.hpp>

#include <algorithm>

namespace lagoonladder::daemon
{

namespace
{

// Assumed speed of one slot until the queue has measured it, in expected tokens
// per second: the inverse of the 31 ms between tokens that engines are to keep.
constexpr double tokens_per_second_and_slot = 30;

} // namespace

admission_gate::admission_gate(traffic_context& shared, traffic_router& choice)
    : context(shared)
    , router(choice)
{
}

admission_gate::queue& admission_gate::queue_for(control_view const& view,
                                                 endpoint_query const& query)
{
    queue_key const key(query.service, query.version);
    auto const known = this->queues.find(key);
    if (known != this->queues.end())
        return known->second;
    request::admission_options options;
    options.max_length = this->context.config.max_queued_requests;
    auto const slots =
        std::max<std::uint32_t>(traffic_router::slots(view, query.service, query.version), 1);
    options.initial_rate = slots * tokens_per_second_and_slot;
    return this->queues.try_emplace(key, options).first->second;
}

connection::endpoint_record admission_gate::enter(admission_request const& request)
{
    auto const view = this->context.control.view();
    auto const& query = request.query;
    std::unique_lock lock(this->mutex);
    auto& known = this->queue_for(*view, query);
    if (known.waiting.size() == 0 &&
        this->router.has_free_slot(*view, query.service, query.version))
    {
        if (auto const chosen = this->router.choose(*view, query))
            return *chosen;
    }
    if (traffic_router::slots(*view, query.service, query.version) == 0)
        throw refusal({503, "no-endpoint", "no endpoint of the service is serving", execution::no,
                       request.queued.request_id.value(), seconds(2)});
    waiter own;
    own.request = &request;
    auto const offered = known.waiting.offer(this->context.time.now(), request.queued);
    if (auto const* refused = std::get_if<request::refused>(&offered))
        throw refusal(this->refuse(request, *refused));
    known.waiters[request.queued.request_id] = &own;
    return this->wait(lock, known, own, std::get<request::queued>(offered));
}

connection::endpoint_record admission_gate::wait(std::unique_lock<std::mutex>& lock, queue& known,
                                                 waiter& own, request::queued const& place)
{
    auto const& service = own.request->query.service.value();
    this->context.metrics.observe_seconds("predicted_wait_seconds", {{"service", service}},
                                          to_seconds(place.predicted_wait));
    own.decided.wait(lock, [&own] { return own.endpoint || own.refused; });
    known.waiters.erase(own.request->queued.request_id);
    if (own.refused)
        throw refusal(this->refuse(*own.request, *own.refused));
    return *own.endpoint;
}

problem admission_gate::refuse(admission_request const& request,
                               request::refused const& given_up) const
{
    this->context.metrics.add("admission_refusals_total",
                              {{"service", request.query.service.value()},
                               {"reason", request::to_string(given_up.reason)}});
    return {503,
            "overloaded",
            "not admitted: " + std::string(request::to_string(given_up.reason)),
            execution::no,
            request.queued.request_id.value(),
            given_up.retry_after};
}

void admission_gate::pump()
{
    auto const view = this->context.control.view();
    std::lock_guard const lock(this->mutex);
    for (auto& [key, known] : this->queues)
        if (!known.waiters.empty())
            this->pump(*view, key, known);
}

void admission_gate::pump(control_view const& view, queue_key const& key, queue& known)
{
    auto const now = this->context.time.now();
    for (auto const& given_up : known.waiting.expire(now))
    {
        auto* waiting = known.waiters.at(given_up.request_id);
        waiting->refused = given_up;
        waiting->decided.notify_one();
    }
    while (known.waiting.size() > 0 && this->router.has_free_slot(view, key.first, key.second))
    {
        auto const next = known.waiting.take(now);
        if (!next)
            return;
        auto* waiting = known.waiters.at(next->request_id);
        waiting->endpoint = this->router.choose(view, waiting->request->query);
        if (!waiting->endpoint)
            waiting->refused = request::refused{next->request_id, seconds(1),
                                                request::refusal_reason::predicted_wait};
        waiting->decided.notify_one();
    }
}

void admission_gate::observe()
{
    auto const now = this->context.time.now();
    std::lock_guard const lock(this->mutex);
    for (auto& [key, known] : this->queues)
    {
        observability::metric_labels const labels{{"service", key.first.value()},
                                                  {"version", key.second.value()}};
        auto const predicted = known.waiting.predicted_wait(request::request_priority::interactive);
        this->context.metrics.set("queue_length", labels, known.waiting.size());
        this->context.metrics.set("queue_oldest_age_seconds", labels,
                                  to_seconds(known.waiting.oldest_age(now)));
        this->context.metrics.set("queue_predicted_wait_seconds", labels, to_seconds(predicted));
        if (auto const trend = known.waiting.observe(now))
            this->context.events.emit(
                trend->rising ? severity::warning : severity::info,
                trend->rising ? "queue.rising" : "queue.steady",
                {{"service", key.first.value()},
                 {"version", key.second.value()},
                 {"length", std::to_string(trend->length)},
                 {"oldest_age_s", std::to_string(to_seconds(trend->oldest_age))},
                 {"predicted_wait_s", std::to_string(to_seconds(trend->predicted_wait))}});
    }
}

} // namespace lagoonladder::daemon
