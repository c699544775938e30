#include <completion_service.hpp>

#include <requests_service.hpp>

namespace lagoonladder::completion
{

completion_service::completion_service(completion_dependencies const& common_dependencies,
                                       entry_selector& selector,
                                       requests_service& companion_requests)
    : shared_dependencies(common_dependencies)
    , entries(selector)
    , companion_service(companion_requests)
    // Starts at the wall-clock time, so that a restarted entry does not reuse ids.
    , sequence(common_dependencies.context.time.wall_now().time_since_epoch().count())
{
}

request_id completion_service::next_id(control_view const& view)
{
    auto const id_number = this->sequence++;
    auto const& self = this->shared_dependencies.context.config.vm;
    auto const other =
        this->entries.companion_for(view, self.value() + "|" + std::to_string(id_number));
    return request::make_request_id(self, other ? other->vm : self, id_number);
}

void completion_service::start(request_id const& id, new_completion const& completion,
                               std::function<void(started_completion const&)> done)
{
    auto& context = this->shared_dependencies.context;
    auto const view = context.control.view();
    request::accepted_request new_request;
    new_request.id = id;
    new_request.account = completion.account.name;
    new_request.service = completion.service.name;
    new_request.version = traffic_router::version_for(*view, completion.service.name, id);
    new_request.path = completion.path;
    new_request.body = completion.body;
    new_request.priority = completion.priority;
    new_request.owner = context.config.vm;
    new_request.deadline = context.time.wall_now() + completion.timeout;
    if (auto const parsed = request::parse_request_id(id))
        new_request.companion = parsed->companion;

    auto const arrived = context.time.now();
    admission_request gate_request;
    gate_request.queued.request_id = id;
    gate_request.queued.account = completion.account.name;
    gate_request.queued.weight = completion.account.share;
    gate_request.queued.priority = completion.priority;
    gate_request.queued.deadline = arrived + completion.timeout;
    gate_request.queued.expected_work = completion.expected_tokens;
    gate_request.query = {completion.service.name, new_request.version, completion.body, {}};
    this->shared_dependencies.gate.enter(
        gate_request,
        [this, new_request, arrived, done = std::move(done)](admission const& result)
        {
            if (auto const* details = std::get_if<problem>(&result))
                return done(*details);
            auto& shared_context = this->shared_dependencies.context;
            shared_context.metrics.observe_seconds("queue_seconds",
                                                   {{"service", new_request.service.value()}},
                                                   to_seconds(shared_context.time.now() - arrived));
            done(this->accept(new_request, std::get<connection::endpoint_record>(result)));
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
    for (auto const& owner : this->companion_service.lost_owners(*view))
    {
        for (auto& take_over : this->shared_dependencies.store.take_over_from(owner))
        {
            context.metrics.add("take_overs_total");
            context.events.emit(severity::warning, "request.taken_over",
                                {{"request_id", take_over.request.id.value()},
                                 {"owner", owner.value()},
                                 {"offset", std::to_string(take_over.resume_at.value())}});
            this->shared_dependencies.companions.track(take_over.request);
            this->shared_dependencies.companions.updated(take_over.request.id, take_over.resume_at,
                                                         false);
            this->run(take_over.request, take_over.resume_at, std::nullopt);
        }
    }
}

} // namespace lagoonladder::completion
