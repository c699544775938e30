#include <admission_gate.hpp>

#include <algorithm>

namespace lagoonladder::completion
{

namespace
{

// Assumed rate of one slot, in tokens per second, until the queue has measured the actual rate.
// Close to the inverse of the target of 31 ms between the tokens of an engine.
constexpr double tokens_per_second_per_slot = 30;

} // namespace

admission_gate::admission_gate(traffic_context& shared_context, traffic_router& endpoint_router,
                               std::function<void()> on_queued)
    : context(shared_context)
    , router(endpoint_router)
    , notify_queued(std::move(on_queued))
{
}

admission_gate::queue& admission_gate::queue_for(control_view const& view,
                                                 endpoint_query const& query)
{
    queue_key const key(query.service, query.version);
    auto const version_queue = this->queues.find(key);
    if (version_queue != this->queues.end())
        return version_queue->second;
    request::admission_options options;
    options.max_length = this->context.config.max_queued_requests;
    auto const slots =
        std::max<std::uint32_t>(traffic_router::slot_count(view, query.service, query.version), 1);
    options.initial_rate = slots * tokens_per_second_per_slot;
    return this->queues.try_emplace(key, options).first->second;
}

void admission_gate::enter(admission_request const& request, handler done)
{
    auto const view = this->context.control.view();
    auto const& query = request.query;
    auto& version_queue = this->queue_for(*view, query);
    if (version_queue.requests.size() == 0 &&
        this->router.has_free_slot(*view, query.service, query.version))
    {
        if (auto const chosen = this->router.choose(*view, query))
            return done(*chosen);
    }
    if (traffic_router::slot_count(*view, query.service, query.version) == 0)
        return done(problem{503, "no-endpoint", "no endpoint of the service is serving",
                            execution::no, request.queued.request_id.value(), seconds(2)});
    auto const offered = version_queue.requests.offer(this->context.time.now(), request.queued);
    if (auto const* rejection = std::get_if<request::queue_refusal>(&offered))
        return done(this->make_refusal(request, *rejection));
    this->context.metrics.observe_seconds(
        "predicted_wait_seconds", {{"service", query.service.value()}},
        to_seconds(std::get<request::queue_acceptance>(offered).predicted_wait));
    version_queue.waiters[request.queued.request_id] = {request, std::move(done)};
    this->notify_queued();
}

bool admission_gate::has_waiters() const
{
    return std::any_of(this->queues.begin(), this->queues.end(),
                       [](auto const& item) { return !item.second.waiters.empty(); });
}

problem admission_gate::make_refusal(admission_request const& request,
                                     request::queue_refusal const& rejection) const
{
    this->context.metrics.add("admission_refusals_total",
                              {{"service", request.query.service.value()},
                               {"reason", request::to_string(rejection.reason)}});
    return {503,
            "overloaded",
            "not admitted: " + std::string(request::to_string(rejection.reason)),
            execution::no,
            request.queued.request_id.value(),
            rejection.retry_after};
}

void admission_gate::admit_waiting()
{
    auto const view = this->context.control.view();
    std::vector<decision> decisions;
    for (auto& [key, version_queue] : this->queues)
    {
        if (!version_queue.waiters.empty())
            this->admit_from_queue(*view, key, version_queue, decisions);
    }
    for (auto const& made_decision : decisions)
        made_decision.done(made_decision.result);
}

void admission_gate::admit_from_queue(control_view const& view, queue_key const& key,
                                      queue& version_queue, std::vector<decision>& decisions)
{
    auto const now = this->context.time.now();
    for (auto const& rejection : version_queue.requests.expire(now))
    {
        auto const node = version_queue.waiters.extract(rejection.request_id);
        auto& waiting_request = node.mapped();
        decisions.push_back({std::move(waiting_request.done),
                             this->make_refusal(waiting_request.request, rejection)});
    }
    while (version_queue.requests.size() > 0 &&
           this->router.has_free_slot(view, key.first, key.second))
    {
        auto const next = version_queue.requests.take(now);
        if (!next)
            return;
        auto const node = version_queue.waiters.extract(next->request_id);
        auto& waiting_request = node.mapped();
        if (auto const chosen = this->router.choose(view, waiting_request.request.query))
            decisions.push_back({std::move(waiting_request.done), *chosen});
        else
            decisions.push_back({std::move(waiting_request.done),
                                 this->make_refusal(waiting_request.request,
                                                    {next->request_id, seconds(1),
                                                     request::refusal_reason::predicted_wait})});
    }
}

void admission_gate::observe()
{
    auto const now = this->context.time.now();
    for (auto& [key, version_queue] : this->queues)
    {
        observability::metric_labels const labels{{"service", key.first.value()},
                                                  {"version", key.second.value()}};
        auto const predicted =
            version_queue.requests.predicted_wait(request::request_priority::interactive);
        this->context.metrics.set("queue_length", labels, version_queue.requests.size());
        this->context.metrics.set("queue_oldest_age_seconds", labels,
                                  to_seconds(version_queue.requests.oldest_age(now)));
        this->context.metrics.set("queue_predicted_wait_seconds", labels, to_seconds(predicted));
        if (auto const trend = version_queue.requests.observe(now))
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

} // namespace lagoonladder::completion
