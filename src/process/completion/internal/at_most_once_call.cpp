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

// Short, because the caller waits for this look-up before it receives the final response.
constexpr duration lookup_timeout = milliseconds(500);

constexpr duration min_poll_interval = milliseconds(20);
constexpr duration max_poll_interval = milliseconds(500);

// For this time after a refusal, requests with the same key are refused as well.
constexpr duration refused_retry_after = seconds(2);

/// Describes why a command has no committed reply.
char const* describe_status(proposal_status status)
{
    return status == proposal_status::not_proposed
               ? "no leader took the command in time; nothing was changed"
               : "no quorum confirmed the command in time";
}

/// Runs one non-idempotent call at most once: the attempt is committed as a record before it is
/// sent, and its outcome is committed afterwards.
class at_most_once_call : public std::enable_shared_from_this<at_most_once_call>
{
public:
    at_most_once_call(plain_dependencies const& shared, plain_call described)
        : dependencies(shared)
        , call(std::move(described))
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
    void on_attempt_end(endpoint_id const& endpoint, plain_attempt_result const& ended);
    void answer(buffered_response const& response);
    void replay_answer(request::at_most_once_reply const& recorded);
    void wait_for_outcome();
    void look_up();
    void on_looked_up(find_status status, std::optional<request::at_most_once_reply> const& found);
    void refuse_committed(request::at_most_once_reply const& reply);
    void withdraw();
    void withdraw_later();
    void refuse_unknown(std::string const& detail);
    void send_unknown(std::string const& detail, bool is_executed);
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
    auto const wall = this->dependencies.context.time.wall_now();
    request::at_most_once_begin begin_command{this->key, this->digest, this->attempt, wall,
                                              wall + (this->call.deadline - now)};
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
        this->withdraw_later();
        return this->refuse_unknown(describe_status(status));
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
    this->refuse_unknown("the request was sent to an endpoint and its outcome is not known");
}

/// Withdraws a grant whose reply was lost. The grant may still be committed although this
/// attempt no longer uses it; without the withdrawal a resend of the key could not run either.
void at_most_once_call::withdraw_later()
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
    start_plain_attempt(
        this->dependencies, this->call, *endpoint, true,
        [self = this->shared_from_this(), id = endpoint->id](plain_attempt_result const& ended)
        { self->on_attempt_end(id, ended); });
}

void at_most_once_call::on_attempt_end(endpoint_id const& endpoint,
                                       plain_attempt_result const& ended)
{
    if (ended.result == call_result::complete)
        return this->answer(ended.response);
    if (ended.result == call_result::not_connected)
    {
        this->query.excluded.push_back(endpoint);
        return this->dispatch();
    }
    // If this commit fails, the record becomes `unknown` at its deadline.
    this->commit(request::at_most_once_finish{this->key, this->attempt, std::nullopt},
                 commit_timeout,
                 [self = this->shared_from_this()](proposal_status, auto const&)
                 { self->refuse_unknown("the connection broke after the request was sent"); });
}

void at_most_once_call::answer(buffered_response const& response)
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
            send_answer(self->dependencies, self->call, response);
        });
}

void at_most_once_call::replay_answer(request::at_most_once_reply const& recorded)
{
    this->call.exchange->set_header("Idempotent-Replayed", "true");
    this->call.exchange->respond(static_cast<unsigned>(recorded.answer->status),
                                 recorded.answer->content_type, recorded.answer->body);
}

void at_most_once_call::wait_for_outcome()
{
    auto const left = this->call.deadline - this->dependencies.context.time.now();
    if (left <= this->poll_interval)
        return this->refuse_unknown("another attempt of this key is in progress");
    run_later(*this->dependencies.context.loop, this->poll_interval,
              [self = this->shared_from_this()] { self->look_up(); });
    this->poll_interval = std::min(this->poll_interval * 2, max_poll_interval);
}

void at_most_once_call::look_up()
{
    auto const left = this->call.deadline - this->dependencies.context.time.now();
    control_plane::find_handler const handler =
        [self = this->shared_from_this()](find_status status, auto const& found)
    { self->on_looked_up(status, found); };
    this->dependencies.context.control.find_once(
        this->key, std::clamp<duration>(left, milliseconds(1), commit_timeout),
        on_loop(this->dependencies.context.loop, handler));
}

void at_most_once_call::on_looked_up(find_status status,
                                     std::optional<request::at_most_once_reply> const& found)
{
    if (status == find_status::unavailable)
        return this->refuse_unknown("no quorum answered in time");
    if (found && found->verdict == request::at_most_once_verdict::answered)
        return this->replay_answer(*found);
    if (found && found->verdict == request::at_most_once_verdict::refused)
        return this->refuse_committed(*found);
    if (!found || found->verdict == request::at_most_once_verdict::outcome_unknown)
        return this->refuse_unknown(
            "another attempt of this key was sent; its outcome is not known");
    if (this->is_entry_lost(found->attempt))
        return this->refuse_unknown(
            "the entry that sent an earlier attempt of this key is no longer running");
    this->wait_for_outcome();
}

void at_most_once_call::refuse_committed(request::at_most_once_reply const& reply)
{
    auto refused = this->make_problem(503, "refused", "the request was refused before it was sent",
                                      execution::no);
    refused.retry_after = std::max<duration>(
        reply.reopen_at - this->dependencies.context.time.wall_now(), seconds(1));
    this->call.exchange->refuse(refused);
}

void at_most_once_call::withdraw()
{
    this->commit(
        request::at_most_once_refuse{this->key, this->digest, this->attempt, refused_retry_after},
        commit_timeout,
        [self = this->shared_from_this()](proposal_status status, auto const& reply)
        {
            if (!reply)
                return self->refuse_unknown(describe_status(status));
            if (reply->verdict == request::at_most_once_verdict::refused)
                return self->refuse_committed(*reply);
            self->refuse_unknown("no endpoint took the request and the refusal was not committed");
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

void at_most_once_call::refuse_unknown(std::string const& detail)
{
    this->query_service_status([self = this->shared_from_this(), detail](bool is_executed)
                               { self->send_unknown(detail, is_executed); });
}

void at_most_once_call::send_unknown(std::string const& detail, bool is_executed)
{
    auto refused = this->make_problem(504, "outcome-unknown", detail, execution::unknown);
    if (is_executed)
    {
        refused.executed = execution::yes;
        refused.type = "answer-lost";
        refused.detail = detail + "; the service says that the request was executed";
    }
    refused.location = at_most_once_location(this->call.id, this->key);
    this->call.exchange->refuse(refused);
}

} // namespace

void serve_at_most_once(plain_dependencies const& dependencies, plain_call call)
{
    std::make_shared<at_most_once_call>(dependencies, std::move(call))->start();
}

} // namespace lagoonladder::completion
