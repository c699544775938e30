#include <completion_service.hpp>

#include <requests_service.hpp>

namespace lagoonladder::completion
{

completion_service::completion_service(completion_dependencies const& shared,
                                       entry_selector& selector,
                                       requests_service& companion_requests)
    : shared_dependencies(shared)
    , entries(selector)
    , companion(companion_requests)
    // Starts at the wall-clock time, so that a restarted entry does not reuse ids.
    , sequence(shared.context.time.wall_now().time_since_epoch().count())
{
}

request_id completion_service::next_id(control_view const& view)
{
    auto const number = this->sequence++;
    auto const& self = this->shared_dependencies.context.config.vm;
    auto const other =
        this->entries.companion_for(view, self.value() + "|" + std::to_string(number));
    return request::make_request_id(self, other ? other->vm : self, number);
}

void completion_service::start(request_id const& id, new_completion const& completion,
                               std::function<void(started_completion const&)> done)
{
    auto& context = this->shared_dependencies.context;
    auto const view = context.control.view();
    request::accepted_request accepted;
    accepted.id = id;
    accepted.account = completion.account.name;
    accepted.service = completion.service.name;
    accepted.version = traffic_router::version_for(*view, completion.service.name, id);
    accepted.path = completion.path;
    accepted.body = completion.body;
    accepted.priority = completion.priority;
    accepted.owner = context.config.vm;
    accepted.deadline = context.time.wall_now() + completion.timeout;
    if (auto const parsed = request::parse_request_id(id))
        accepted.companion = parsed->companion;

    auto const arrived = context.time.now();
    admission_request admitted;
    admitted.queued.request_id = id;
    admitted.queued.account = completion.account.name;
    admitted.queued.weight = completion.account.share;
    admitted.queued.priority = completion.priority;
    admitted.queued.deadline = arrived + completion.timeout;
    admitted.queued.expected_work = completion.expected_tokens;
    admitted.query = {completion.service.name, accepted.version, completion.body, {}};
    this->shared_dependencies.gate.enter(
        admitted,
        [this, accepted, arrived, done = std::move(done)](admission const& decided)
        {
            if (auto const* refused = std::get_if<problem>(&decided))
                return done(*refused);
            auto& plane = this->shared_dependencies.context;
            plane.metrics.observe_seconds("queue_seconds", {{"service", accepted.service.value()}},
                                          to_seconds(plane.time.now() - arrived));
            done(this->accept(accepted, std::get<connection::endpoint_record>(decided)));
        });
}

started_completion completion_service::accept(request::accepted_request const& request,
                                              connection::endpoint_record const& endpoint)
{
    if (!this->shared_dependencies.store.accept(request))
    {
        this->shared_dependencies.router.attempt_ended(endpoint, std::nullopt);
        return problem{503,           "too-many-requests", "this entry holds too many requests",
                       execution::no, request.id.value(),  seconds(5)};
    }
    this->shared_dependencies.companions.track(request);
    return this->run(request, token_offset(0), endpoint);
}

std::shared_ptr<open_request>
completion_service::run(request::accepted_request const& request, token_offset resume_at,
                        std::optional<connection::endpoint_record> const& first)
{
    auto request_guard = std::make_shared<open_request>(this->shared_dependencies.context);
    std::make_shared<completion_runner>(this->shared_dependencies, request, resume_at,
                                        request_guard)
        ->start(first);
    return request_guard;
}

void completion_service::take_over_lost_requests()
{
    auto& context = this->shared_dependencies.context;
    auto const view = context.control.view();
    if (!view || !view->ready)
        return;
    for (auto const& owner : this->companion.lost_owners(*view))
    {
        for (auto& lost : this->shared_dependencies.store.owner_lost(owner))
        {
            context.metrics.add("take_overs_total");
            context.events.emit(severity::warning, "request.taken_over",
                                {{"request_id", lost.request.id.value()},
                                 {"owner", owner.value()},
                                 {"offset", std::to_string(lost.resume_at.value())}});
            this->shared_dependencies.companions.track(lost.request);
            this->shared_dependencies.companions.updated(lost.request.id, lost.resume_at, false);
            this->run(lost.request, lost.resume_at, std::nullopt);
        }
    }
}

} // namespace lagoonladder::completion
