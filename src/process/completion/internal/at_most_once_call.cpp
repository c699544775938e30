#include <plain_call.hpp>

#include <algorithm>

#include <at_most_once_status.hpp>

namespace lagoonladder::completion
{

namespace
{

// A commit takes a few milliseconds; 3 s covers the election of a new leader.
constexpr duration commit_timeout = seconds(3);

// Long enough to cover a short loss of the quorum.
constexpr duration withdrawal_commit_timeout = seconds(20);

// Short, because the caller waits for this look-up before it receives its response.
constexpr duration lookup_timeout = milliseconds(500);

constexpr duration min_poll_interval = milliseconds(20);
constexpr duration max_poll_interval = milliseconds(500);

// For this time after a refusal, requests with the same key are refused as well.
constexpr duration refused_retry_after = seconds(2);

/// Describes why a command has no committed reply.
char const* describe_status(proposal_status status)
{
    return status == proposal_status::not_proposed
               ? "no leader accepted the command in time; nothing was changed"
               : "no quorum confirmed the command in time";
}

/// Runs one non-idempotent call at most once: the attempt is committed as a record before it is
/// sent, and its outcome is committed afterwards.
class at_most_once_call : public std::enable_shared_from_this<at_most_once_call>
{
public:
    at_most_once_call(plain_dependencies const& common_dependencies, plain_call validated_call)
        : dependencies(common_dependencies)
        , call(std::move(validated_call))
        , key{this->call.account.name, this->call.service.name,
              idempotency_key(this->call.key.empty() ? this->call.id.value() : this->call.key)}
        , attempt(this->call.id.value())
        , digest(version::sha256_hex(this->call.exchange->method() + "\n" + this->call.target +
                                     "\n" + this->call.exchange->body()))
        , query{this->call.service.name, this->call.version, "", {}}
    {
    }

    void start();

private:
    using commit_handler =
        std::function<void(proposal_status, std::optional<request::at_most_once_reply> const&)>;

    void commit(version::command_body body, duration timeout, commit_handler done);
    void on_begin_reply(proposal_status status,
                        std::optional<request::at_most_once_reply> const& reply);
    void dispatch();
    void on_attempt_end(endpoint_id const& endpoint, plain_attempt_result const& attempt_result);
    void commit_and_send(buffered_response const& response);
    void replay_answer(request::at_most_once_reply const& record);
    void wait_for_outcome();
    void look_up();
    void on_lookup_result(find_status status,
                          std::optional<request::at_most_once_reply> const& record);
    void refuse_committed(request::at_most_once_reply const& reply);
    void withdraw();
    void withdraw_in_background();
    void report_unknown_outcome(std::string const& detail);
    void refuse_with_unknown_outcome(std::string const& detail, bool is_executed);
    bool is_entry_lost(attempt_id const& other) const;
    void query_service_status(std::function<void(bool)> done);
    problem make_problem(int status, std::string type, std::string detail,
                         execution executed) const;

    plain_dependencies const dependencies;
    plain_call const call;
    request::at_most_once_key const key;
    attempt_id const attempt;
    std::string const digest;
    endpoint_query query;
    duration poll_interval = min_poll_interval;
};

problem at_most_once_call::make_problem(int status, std::string type, std::string detail,
                                        execution executed) const
{
    return {status, std::move(type), std::move(detail), executed, this->call.id.value(), seconds(1),
            {}};
}

void at_most_once_call::commit(version::command_body body, duration timeout, commit_handler done)
{
    control_plane::proposal_handler const handler =
        [done = std::move(done)](proposal_outcome const& outcome)
    {
        auto const* reply = std::get_if<request::at_most_once_reply>(&outcome.result);
        if (outcome.status != proposal_status::committed || reply == nullptr)
            return done(outcome.status, std::nullopt);
        done(outcome.status, *reply);
    };
    this->dependencies.context.control.propose(std::move(body), timeout,
                                               on_loop(this->dependencies.context.loop, handler));
}

void at_most_once_call::start()
{
    auto const now = this->dependencies.context.time.now();
    auto const wall_now = this->dependencies.context.time.wall_now();
    request::at_most_once_begin begin_command{this->key, this->digest, this->attempt, wall_now,
                                              wall_now + (this->call.deadline - now)};
    this->commit(std::move(begin_command), commit_timeout,
                 [self = this->shared_from_this()](proposal_status status, auto const& reply)
                 { self->on_begin_reply(status, reply); });
}

void at_most_once_call::on_begin_reply(proposal_status status,
                                       std::optional<request::at_most_once_reply> const& reply)
{
    if (status == proposal_status::not_proposed)
        // Without an idempotency key of the caller there can be no earlier attempt.
        return this->call.exchange->refuse(
            this->make_problem(503, "no-quorum", describe_status(status),
                               this->call.key.empty() ? execution::no : execution::unknown));
    if (!reply)
    {
        this->withdraw_in_background();
        return this->report_unknown_outcome(describe_status(status));
    }
    switch (reply->verdict)
    {
    case request::at_most_once_verdict::granted:
        return this->dispatch();
    case request::at_most_once_verdict::answered:
        return this->replay_answer(*reply);
    case request::at_most_once_verdict::in_progress:
        return this->wait_for_outcome();
    case request::at_most_once_verdict::refused:
        return this->refuse_committed(*reply);
    case request::at_most_once_verdict::conflict:
        return this->call.exchange->refuse(this->make_problem(
            409, "key-conflict", "the key was used with another method, path or body",
            execution::no));
    case request::at_most_once_verdict::outcome_unknown:
        break;
    }
    this->report_unknown_outcome(
        "the request was sent to an endpoint and its outcome is not known");
}

/// Withdraws a grant whose reply was lost. The grant may still be committed although this
/// attempt no longer uses it; without the withdrawal a resend with the key could not run either.
void at_most_once_call::withdraw_in_background()
{
    request::at_most_once_refuse const command{this->key, this->digest, this->attempt,
                                               refused_retry_after};
    // The handler does not hold a reference to this call: the call already has its response and
    // must no longer count as open.
    this->commit(command, withdrawal_commit_timeout,
                 [&events = this->dependencies.context.events,
                  id = this->attempt](proposal_status status, auto const& reply)
                 {
                     if (!reply)
                         events.emit(
                             severity::warning, "once.not_withdrawn",
                             {{"attempt", id.value()}, {"reason", describe_status(status)}});
                 });
}

void at_most_once_call::dispatch()
{
    if (this->dependencies.context.time.now() >= this->call.deadline)
        return this->withdraw();
    auto const view = this->dependencies.context.control.view();
    auto const endpoint = this->dependencies.router.choose(*view, this->query);
    if (!endpoint)
        return this->withdraw();
    start_plain_attempt(this->dependencies, this->call, *endpoint, true,
                        [self = this->shared_from_this(),
                         id = endpoint->id](plain_attempt_result const& attempt_result)
                        { self->on_attempt_end(id, attempt_result); });
}

void at_most_once_call::on_attempt_end(endpoint_id const& endpoint,
                                       plain_attempt_result const& attempt_result)
{
    if (attempt_result.result == call_result::complete)
        return this->commit_and_send(attempt_result.response);
    if (attempt_result.result == call_result::not_connected)
    {
        this->query.excluded_endpoints.push_back(endpoint);
        return this->dispatch();
    }
    // If this commit fails, the record becomes `unknown` at its deadline.
    this->commit(
        request::at_most_once_finish{this->key, this->attempt, std::nullopt}, commit_timeout,
        [self = this->shared_from_this()](proposal_status, auto const&)
        { self->report_unknown_outcome("the connection broke after the request was sent"); });
}

/// Commits the response as the outcome of the attempt, then sends it to the caller.
void at_most_once_call::commit_and_send(buffered_response const& response)
{
    auto const* type = response.head.headers.find("Content-Type");
    request::stored_answer stored{static_cast<int>(response.head.status),
                                  type == nullptr ? std::string() : *type, response.body};
    if (stored.body.size() > this->dependencies.context.config.max_body_bytes)
    {
        stored.content_type = "text/plain";
        stored.body = "the answer was delivered once and was too large to be stored\n";
    }
    this->commit(
        request::at_most_once_finish{this->key, this->attempt, std::move(stored)}, commit_timeout,
        [self = this->shared_from_this(), response](proposal_status status, auto const& reply)
        {
            // The caller still receives the response; only a resend cannot receive it.
            if (!reply)
                self->dependencies.context.events.emit(
                    severity::warning, "once.answer_not_stored",
                    {{"request_id", self->call.id.value()}, {"reason", describe_status(status)}});
            send_response(self->dependencies, self->call, response);
        });
}

void at_most_once_call::replay_answer(request::at_most_once_reply const& record)
{
    this->call.exchange->set_header("Idempotent-Replayed", "true");
    this->call.exchange->respond(static_cast<unsigned>(record.answer->status),
                                 record.answer->content_type, record.answer->body);
}

void at_most_once_call::wait_for_outcome()
{
    auto const remaining = this->call.deadline - this->dependencies.context.time.now();
    if (remaining <= this->poll_interval)
        return this->report_unknown_outcome("another attempt with this key is in progress");
    run_later(*this->dependencies.context.loop, this->poll_interval,
              [self = this->shared_from_this()] { self->look_up(); });
    this->poll_interval = std::min(this->poll_interval * 2, max_poll_interval);
}

void at_most_once_call::look_up()
{
    auto const remaining = this->call.deadline - this->dependencies.context.time.now();
    control_plane::find_handler const handler =
        [self = this->shared_from_this()](find_status status, auto const& record)
    { self->on_lookup_result(status, record); };
    this->dependencies.context.control.find_once(
        this->key, std::clamp<duration>(remaining, milliseconds(1), commit_timeout),
        on_loop(this->dependencies.context.loop, handler));
}

void at_most_once_call::on_lookup_result(find_status status,
                                         std::optional<request::at_most_once_reply> const& record)
{
    if (status == find_status::unavailable)
        return this->report_unknown_outcome("no quorum answered in time");
    if (record && record->verdict == request::at_most_once_verdict::answered)
        return this->replay_answer(*record);
    if (record && record->verdict == request::at_most_once_verdict::refused)
        return this->refuse_committed(*record);
    if (!record || record->verdict == request::at_most_once_verdict::outcome_unknown)
        return this->report_unknown_outcome(
            "another attempt with this key was sent; its outcome is not known");
    if (this->is_entry_lost(record->attempt))
        return this->report_unknown_outcome(
            "the entry that sent an earlier attempt with this key is no longer running");
    this->wait_for_outcome();
}

void at_most_once_call::refuse_committed(request::at_most_once_reply const& reply)
{
    auto response = this->make_problem(503, "refused", "the request was refused before it was sent",
                                       execution::no);
    response.retry_after = std::max<duration>(
        reply.reopen_at - this->dependencies.context.time.wall_now(), seconds(1));
    this->call.exchange->refuse(response);
}

/// Commits that the call is refused before it was sent, then refuses it.
void at_most_once_call::withdraw()
{
    this->commit(
        request::at_most_once_refuse{this->key, this->digest, this->attempt, refused_retry_after},
        commit_timeout,
        [self = this->shared_from_this()](proposal_status status, auto const& reply)
        {
            if (!reply)
                return self->report_unknown_outcome(describe_status(status));
            if (reply->verdict == request::at_most_once_verdict::refused)
                return self->refuse_committed(*reply);
            self->report_unknown_outcome(
                "no endpoint accepted the request and the refusal was not committed");
        });
}

/// Whether the entry that made the attempt has left the system. It can no longer commit an
/// outcome, so waiting for one is useless.
bool at_most_once_call::is_entry_lost(attempt_id const& other) const
{
    auto const id_parts = request::parse_request_id(request_id(other.value()));
    if (!id_parts || id_parts->owner == this->dependencies.context.config.vm)
        return false;
    auto const view = this->dependencies.context.control.view();
    return std::none_of(view->entries.begin(), view->entries.end(),
                        [&](auto const& entry) { return entry.vm == id_parts->owner; });
}

/// Asks the service itself whether the request was executed, if the configuration has a path for
/// this look-up. A status other than 200 proves nothing, because the call may still be on its way.
void at_most_once_call::query_service_status(std::function<void(bool)> done)
{
    auto path = this->call.service.status_lookup;
    auto const position = path.find("{key}");
    if (position == std::string::npos)
        return done(false);
    path.replace(position, std::string("{key}").size(), percent_encoded(this->key.key.value()));
    auto const view = this->dependencies.context.control.view();
    auto const endpoint = this->dependencies.router.choose(
        *view, {this->call.service.name, this->call.version, "", {}});
    if (!endpoint)
        return done(false);
    http::request_head lookup{"GET", path, {}};
    lookup.headers.add("X-Account", this->call.account.name.value());
    this->dependencies.calls.fetch(
        endpoint->address, std::move(lookup), "", lookup_timeout, false,
        [self = this->shared_from_this(), endpoint = *endpoint,
         done = std::move(done)](call_result result, buffered_response const& response)
        {
            self->dependencies.router.attempt_ended(endpoint, std::nullopt);
            done(result == call_result::complete && response.head.status == 200);
        });
}

void at_most_once_call::report_unknown_outcome(std::string const& detail)
{
    this->query_service_status([self = this->shared_from_this(), detail](bool is_executed)
                               { self->refuse_with_unknown_outcome(detail, is_executed); });
}

void at_most_once_call::refuse_with_unknown_outcome(std::string const& detail, bool is_executed)
{
    auto response = this->make_problem(504, "outcome-unknown", detail, execution::unknown);
    if (is_executed)
    {
        response.executed = execution::yes;
        response.type = "answer-lost";
        response.detail = detail + "; the service reports that the request was executed";
    }
    response.location = at_most_once_location(this->call.id, this->key);
    this->call.exchange->refuse(response);
}

} // namespace

void serve_at_most_once(plain_dependencies const& dependencies, plain_call call)
{
    std::make_shared<at_most_once_call>(dependencies, std::move(call))->start();
}

} // namespace lagoonladder::completion
