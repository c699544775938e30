#include <companion_link.hpp>

#include <requests.grpc.pb.h>

namespace lagoonladder::completion
{

namespace
{

// The first byte of an answer is delayed until this call ends, so the timeout is short compared
// to the first-token target of 0.63 s.
constexpr duration store_timeout = milliseconds(250);
constexpr duration progress_timeout = milliseconds(1000);
constexpr duration progress_interval = milliseconds(100);
constexpr std::uint64_t progress_batch_tokens = 32;
constexpr std::uint32_t max_store_attempts = 2;

template <class Request, class Reply>
struct pending_call
{
    grpc::ClientContext context;
    Request request;
    Reply reply;
};

} // namespace

protocol::StoreRequest to_message(request::accepted_request const& request)
{
    protocol::StoreRequest message;
    message.set_id(request.id.value());
    message.set_account(request.account.value());
    message.set_service(request.service.value());
    message.set_path(request.path);
    message.set_body(request.body);
    message.set_priority(request.priority == request::request_priority::draft ? "draft"
                                                                              : "interactive");
    message.set_deadline_wall_us(request.deadline.time_since_epoch().count());
    message.set_owner(request.owner.value());
    message.set_version(request.version.value());
    return message;
}

request::accepted_request from_message(protocol::StoreRequest const& message)
{
    request::accepted_request request;
    request.id = request_id(message.id());
    request.account = account_id(message.account());
    request.service = service_name(message.service());
    request.version = version_name(message.version());
    request.path = message.path();
    request.body = message.body();
    request.priority = message.priority() == "draft" ? request::request_priority::draft
                                                     : request::request_priority::interactive;
    request.deadline = wall_time(duration(message.deadline_wall_us()));
    request.owner = vm_id(message.owner());
    return request;
}

companion_link::companion_link(traffic_context& shared_context, completion_store& request_store,
                               entry_selector& selector)
    : context(shared_context)
    , store(request_store)
    , entries(selector)
    , peers(shared_context.config.cluster_token)
{
}

companion_link::~companion_link()
{
    this->stop();
}

void companion_link::stop()
{
    std::unique_lock lock(this->mutex);
    this->is_stopping = true;
    this->call_ended.wait(lock, [this] { return this->call_count == 0; });
}

bool companion_link::is_busy() const
{
    std::lock_guard const lock(this->mutex);
    return !this->requests.empty();
}

bool companion_link::begin_call()
{
    if (this->is_stopping)
        return false;
    ++this->call_count;
    return true;
}

void companion_link::end_call()
{
    std::lock_guard const lock(this->mutex);
    --this->call_count;
    this->call_ended.notify_all();
}

std::optional<connection::entry_record>
companion_link::choose_companion(request_replication const& tracked_request)
{
    auto const view = this->context.control.view();
    auto const& companion_id = tracked_request.request.companion;
    auto const* companion = entry_selector::find(*view, companion_id);
    if (tracked_request.store_attempts == 0 && companion && companion_id != this->context.config.vm)
        return *companion;
    auto const key =
        tracked_request.request.id.value() + "|" + std::to_string(tracked_request.store_attempts);
    auto replacement = this->entries.companion_for(*view, key);
    if (!replacement || replacement->vm == tracked_request.companion.vm ||
        replacement->vm == tracked_request.request.owner)
        return std::nullopt;
    return replacement;
}

void companion_link::track(request::accepted_request const& request)
{
    {
        std::lock_guard const lock(this->mutex);
        auto& tracked_request = this->requests[request.id];
        tracked_request = request_replication();
        tracked_request.request = request;
    }
    this->send_store(request.id);
}

void companion_link::send_store(request_id const& id)
{
    using call_type = pending_call<protocol::StoreRequest, protocol::StoreReply>;
    auto call = std::make_shared<call_type>();
    std::unique_ptr<protocol::Requests::Stub> stub;
    {
        std::lock_guard const lock(this->mutex);
        auto const found = this->requests.find(id);
        if (found == this->requests.end())
            return;
        auto& tracked_request = found->second;
        auto const companion = tracked_request.store_attempts < max_store_attempts
                                   ? this->choose_companion(tracked_request)
                                   : std::nullopt;
        ++tracked_request.store_attempts;
        if (companion && this->begin_call())
        {
            tracked_request.companion = *companion;
            tracked_request.has_call_in_progress = true;
            auto request = tracked_request.request;
            request.owner = this->context.config.vm;
            call->request = to_message(request);
            stub = protocol::Requests::NewStub(this->peers.channel(companion->control));
        }
    }
    if (!stub)
        return this->release_without_companion(id, "no other entry can be reached");
    this->peers.prepare(call->context, store_timeout);
    stub->async()->Store(&call->context, &call->request, &call->reply,
                         [this, call, id](grpc::Status const& status)
                         {
                             this->store_ended(id, status.ok() && call->reply.held());
                             this->end_call();
                         });
}

void companion_link::store_ended(request_id const& id, bool is_held)
{
    {
        std::lock_guard const lock(this->mutex);
        auto const found = this->requests.find(id);
        if (found == this->requests.end())
            return;
        found->second.has_call_in_progress = false;
        found->second.is_held = is_held;
        found->second.last_sent = this->context.time.now();
    }
    if (is_held)
        this->store.release(id);
    else
        this->send_store(id);
}

void companion_link::release_without_companion(request_id const& id, std::string const& reason)
{
    {
        std::lock_guard const lock(this->mutex);
        this->requests.erase(id);
    }
    this->context.metrics.add("requests_without_companion_total");
    this->context.events.emit(severity::warning, "request.no_companion",
                              {{"request_id", id.value()}, {"reason", reason}});
    this->store.release(id);
}

bool companion_link::is_due(request_replication const& tracked_request, time_point now) const
{
    if (!tracked_request.is_held || tracked_request.has_call_in_progress)
        return false;
    auto const missing_tokens =
        tracked_request.local_next.value() - tracked_request.companion_next.value();
    if (tracked_request.is_finished || missing_tokens >= progress_batch_tokens)
        return true;
    return missing_tokens > 0 && now - tracked_request.last_sent >= progress_interval;
}

void companion_link::updated(request_id const& id, token_offset next, bool is_finished)
{
    {
        std::lock_guard const lock(this->mutex);
        auto const found = this->requests.find(id);
        if (found == this->requests.end())
            return;
        found->second.local_next = next;
        found->second.is_finished = found->second.is_finished || is_finished;
        if (!this->is_due(found->second, this->context.time.now()))
            return;
    }
    this->send_progress(id);
}

void companion_link::send_progress(request_id const& id)
{
    using call_type = pending_call<protocol::ProgressRequest, protocol::ProgressReply>;
    auto call = std::make_shared<call_type>();
    std::unique_ptr<protocol::Requests::Stub> stub;
    {
        std::lock_guard const lock(this->mutex);
        auto const found = this->requests.find(id);
        if (found == this->requests.end() || found->second.has_call_in_progress ||
            !this->begin_call())
            return;
        auto& tracked_request = found->second;
        tracked_request.has_call_in_progress = true;
        tracked_request.last_sent = this->context.time.now();
        auto batch =
            this->store.read(id, tracked_request.request.account, tracked_request.companion_next);
        call->request.set_id(id.value());
        call->request.set_offset(tracked_request.companion_next.value());
        for (auto& token : batch.tokens)
            call->request.add_tokens(std::move(token));
        call->request.set_finished(batch.outcome.has_value());
        if (batch.outcome)
        {
            call->request.set_failure(batch.outcome->failure);
            call->request.set_failure_status(batch.outcome->failure_status);
            call->request.set_finish_reason(batch.outcome->finish_reason);
        }
        stub = protocol::Requests::NewStub(this->peers.channel(tracked_request.companion.control));
    }
    this->peers.prepare(call->context, progress_timeout);
    stub->async()->Progress(&call->context, &call->request, &call->reply,
                            [this, call, id](grpc::Status const& status)
                            {
                                std::optional<token_offset> next;
                                if (status.ok() && call->reply.held())
                                    next = token_offset(call->reply.next_offset());
                                this->progress_ended(id, next, call->request.finished());
                                this->end_call();
                            });
}

void companion_link::progress_ended(request_id const& id, std::optional<token_offset> next,
                                    bool had_outcome)
{
    std::lock_guard const lock(this->mutex);
    auto const found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    auto& tracked_request = found->second;
    tracked_request.has_call_in_progress = false;
    if (next)
    {
        tracked_request.companion_next = *next;
        if (had_outcome && *next >= tracked_request.local_next)
            this->requests.erase(found);
        return;
    }
    // The companion is unreachable or has discarded the request. The next tick() selects another
    // one and sends it all tokens.
    tracked_request.is_held = false;
    tracked_request.companion_next = token_offset(0);
}

void companion_link::tick()
{
    std::vector<request_id> with_due_progress;
    std::vector<request_id> without_companion;
    {
        std::lock_guard const lock(this->mutex);
        auto const now = this->context.time.now();
        for (auto const& [id, tracked_request] : this->requests)
        {
            if (this->is_due(tracked_request, now))
                with_due_progress.push_back(id);
            else if (!tracked_request.is_held && !tracked_request.has_call_in_progress &&
                     tracked_request.store_attempts > 0)
                without_companion.push_back(id);
        }
    }
    for (auto const& id : with_due_progress)
        this->send_progress(id);
    for (auto const& id : without_companion)
        this->send_store(id);
}

} // namespace lagoonladder::completion
