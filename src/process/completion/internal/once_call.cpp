#include <plain_call.hpp>

#include <algorithm>

#include <once_status.hpp>

namespace lagoonladder::completion
{

namespace
{

// A commit takes a few milliseconds; 3 s covers an election.
constexpr duration commit_timeout = seconds(3);

// Covers a quorum that is lost for a short time.
constexpr duration late_commit_timeout = seconds(20);

// A caller waits for this look-up before the final answer.
constexpr duration lookup_timeout = milliseconds(500);

constexpr duration first_poll = milliseconds(20);
constexpr duration max_poll = milliseconds(500);

// How long a resend of a refused key is refused as well.
constexpr duration refused_retry_after = seconds(2);

/// Reason of an outcome without a committed reply.
char const* describe_status(proposal_status status)
{
    return status == proposal_status::not_proposed
               ? "no leader took the command in time; nothing was changed"
               : "no quorum confirmed the command in time";
}

/// One non-idempotent call.
class once_call : public std::enable_shared_from_this<once_call>
{
public:
    once_call(plain_parts const& shared, plain_call described)
        : parts(shared)
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
    void on_begun(proposal_status status, std::optional<request::at_most_once_reply> const& reply);
    void dispatch();
    void on_attempt_end(endpoint_id const& endpoint, plain_attempt const& tried);
    void answer(whole_response const& response);
    void answer_known(request::at_most_once_reply const& known);
    void wait_for_outcome();
    void look_up();
    void on_looked_up(find_status status, std::optional<request::at_most_once_reply> const& found);
    void refuse_committed(request::at_most_once_reply const& reply);
    void withdraw();
    void withdraw_later();
    void refuse_unknown(std::string const& detail);
    void send_unknown(std::string const& detail, bool is_executed);
    bool is_entry_lost(attempt_id const& other) const;
    void ask_service(std::function<void(bool)> done);
    problem describe(int status, std::string type, std::string detail, execution executed) const;

    plain_parts const parts;
    plain_call const call;
    request::at_most_once_key const key;
    attempt_id const attempt;
    std::string const digest;
    endpoint_query query;
    duration pause = first_poll;
};

problem once_call::describe(int status, std::string type, std::string detail,
                            execution executed) const
{
    return {status, std::move(type), std::move(detail), executed, this->call.id.value(), seconds(1),
            {}};
}

void once_call::commit(version::command_body body, duration timeout, commit_handler done)
{
    control_plane::proposal_handler const handler =
        [done = std::move(done)](proposal_outcome const& outcome)
    {
        auto const* reply = std::get_if<request::at_most_once_reply>(&outcome.result);
        if (outcome.status != proposal_status::committed || reply == nullptr)
            return done(outcome.status, std::nullopt);
        done(outcome.status, *reply);
    };
    this->parts.context.control.propose(std::move(body), timeout,
                                        on_loop(this->parts.context.loop, handler));
}

void once_call::start()
{
    auto const now = this->parts.context.time.now();
    auto const wall = this->parts.context.time.wall_now();
    request::at_most_once_begin begun{this->key, this->digest, this->attempt, wall,
                              wall + (this->call.deadline - now)};
    this->commit(std::move(begun), commit_timeout,
                 [self = this->shared_from_this()](proposal_status status, auto const& reply)
                 { self->on_begun(status, reply); });
}

void once_call::on_begun(proposal_status status, std::optional<request::at_most_once_reply> const& reply)
{
    if (status == proposal_status::not_proposed)
        // Without a caller's key no earlier attempt can have run.
        return this->call.exchange->refuse(
            this->describe(503, "no-quorum", describe_status(status),
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
        return this->answer_known(*reply);
    case request::at_most_once_verdict::in_progress:
        return this->wait_for_outcome();
    case request::at_most_once_verdict::refused:
        return this->refuse_committed(*reply);
    case request::at_most_once_verdict::conflict:
        return this->call.exchange->refuse(
            this->describe(409, "key-conflict",
                           "the key was used with another method, path or body", execution::no));
    case request::at_most_once_verdict::outcome_unknown:
        break;
    }
    this->refuse_unknown("the request was sent to an endpoint and its outcome is not known");
}

/// The grant may still be committed, and this attempt does not use it any more.
/// Without a withdrawal a resend of the key could not run either.
void once_call::withdraw_later()
{
    request::at_most_once_refuse const command{this->key, this->digest, this->attempt, refused_retry_after};
    // Without the call, which has its answer and must not count as open any more.
    this->commit(command, late_commit_timeout,
                 [&events = this->parts.context.events, id = this->attempt](proposal_status status,
                                                                            auto const& reply)
                 {
                     if (!reply)
                         events.emit(
                             severity::warning, "once.not_withdrawn",
                             {{"attempt", id.value()}, {"reason", describe_status(status)}});
                 });
}

void once_call::dispatch()
{
    if (this->parts.context.time.now() >= this->call.deadline)
        return this->withdraw();
    auto const view = this->parts.context.control.view();
    auto const endpoint = this->parts.router.choose(*view, this->query);
    if (!endpoint)
        return this->withdraw();
    start_plain_attempt(this->parts, this->call, *endpoint, true,
                        [self = this->shared_from_this(), id = endpoint->id](
                            plain_attempt const& tried) { self->on_attempt_end(id, tried); });
}

void once_call::on_attempt_end(endpoint_id const& endpoint, plain_attempt const& tried)
{
    if (tried.result == call_result::complete)
        return this->answer(tried.response);
    if (tried.result == call_result::not_connected)
    {
        this->query.excluded.push_back(endpoint);
        return this->dispatch();
    }
    // Without a commit the record becomes `unknown` at its deadline.
    this->commit(request::at_most_once_finish{this->key, this->attempt, std::nullopt}, commit_timeout,
                 [self = this->shared_from_this()](proposal_status, auto const&)
                 { self->refuse_unknown("the connection broke after the request was sent"); });
}

void once_call::answer(whole_response const& response)
{
    auto const* type = response.head.headers.find("Content-Type");
    request::stored_answer stored{static_cast<int>(response.head.status),
                                  type == nullptr ? std::string() : *type, response.body};
    if (stored.body.size() > this->parts.context.config.max_body_bytes)
    {
        stored.content_type = "text/plain";
        stored.body = "the answer was delivered once and was too large to be stored\n";
    }
    this->commit(
        request::at_most_once_finish{this->key, this->attempt, std::move(stored)}, commit_timeout,
        [self = this->shared_from_this(), response](proposal_status status, auto const& reply)
        {
            // The caller gets the answer all the same; only a resend cannot get it.
            if (!reply)
                self->parts.context.events.emit(
                    severity::warning, "once.answer_not_stored",
                    {{"request_id", self->call.id.value()}, {"reason", describe_status(status)}});
            send_answer(self->parts, self->call, response);
        });
}

void once_call::answer_known(request::at_most_once_reply const& known)
{
    this->call.exchange->set_header("Idempotent-Replayed", "true");
    this->call.exchange->respond(static_cast<unsigned>(known.answer->status),
                                 known.answer->content_type, known.answer->body);
}

void once_call::wait_for_outcome()
{
    auto const left = this->call.deadline - this->parts.context.time.now();
    if (left <= this->pause)
        return this->refuse_unknown("another attempt of this key is in progress");
    run_later(*this->parts.context.loop, this->pause,
              [self = this->shared_from_this()] { self->look_up(); });
    this->pause = std::min(this->pause * 2, max_poll);
}

void once_call::look_up()
{
    auto const left = this->call.deadline - this->parts.context.time.now();
    control_plane::find_handler const handler =
        [self = this->shared_from_this()](find_status status, auto const& found)
    { self->on_looked_up(status, found); };
    this->parts.context.control.find_once(
        this->key, std::clamp<duration>(left, milliseconds(1), commit_timeout),
        on_loop(this->parts.context.loop, handler));
}

void once_call::on_looked_up(find_status status, std::optional<request::at_most_once_reply> const& found)
{
    if (status == find_status::unavailable)
        return this->refuse_unknown("no quorum answered in time");
    if (found && found->verdict == request::at_most_once_verdict::answered)
        return this->answer_known(*found);
    if (found && found->verdict == request::at_most_once_verdict::refused)
        return this->refuse_committed(*found);
    if (!found || found->verdict == request::at_most_once_verdict::outcome_unknown)
        return this->refuse_unknown(
            "another attempt of this key was sent; its outcome is not known");
    if (this->is_entry_lost(found->attempt))
        return this->refuse_unknown("the entry that sent an earlier attempt of this key is gone");
    this->wait_for_outcome();
}

void once_call::refuse_committed(request::at_most_once_reply const& reply)
{
    auto refused =
        this->describe(503, "refused", "the request was refused before it was sent", execution::no);
    refused.retry_after =
        std::max<duration>(reply.reopen_at - this->parts.context.time.wall_now(), seconds(1));
    this->call.exchange->refuse(refused);
}

void once_call::withdraw()
{
    this->commit(request::at_most_once_refuse{this->key, this->digest, this->attempt, refused_retry_after},
                 commit_timeout,
                 [self = this->shared_from_this()](proposal_status status, auto const& reply)
                 {
                     if (!reply)
                         return self->refuse_unknown(describe_status(status));
                     if (reply->verdict == request::at_most_once_verdict::refused)
                         return self->refuse_committed(*reply);
                     self->refuse_unknown(
                         "no endpoint took the request and the refusal was not committed");
                 });
}

/// The entry that holds the grant can no longer store an outcome, so waiting for
/// one is of no use.
bool once_call::is_entry_lost(attempt_id const& other) const
{
    auto const parts_of_id = request::parse_request_id(request_id(other.value()));
    if (!parts_of_id || parts_of_id->owner == this->parts.context.config.vm)
        return false;
    auto const view = this->parts.context.control.view();
    return std::none_of(view->entries.begin(), view->entries.end(),
                        [&](auto const& entry) { return entry.vm == parts_of_id->owner; });
}

/// Asks the service itself, where the configuration names a path for that. Any
/// answer but 200 proves nothing: the call may still be on its way.
void once_call::ask_service(std::function<void(bool)> done)
{
    auto path = this->call.service.status_lookup;
    auto const place = path.find("{key}");
    if (place == std::string::npos)
        return done(false);
    path.replace(place, std::string("{key}").size(), percent_encoded(this->key.key.value()));
    auto const view = this->parts.context.control.view();
    auto const endpoint =
        this->parts.router.choose(*view, {this->call.service.name, this->call.version, "", {}});
    if (!endpoint)
        return done(false);
    http::request_head lookup{"GET", path, {}};
    lookup.headers.add("X-Account", this->call.account.name.value());
    this->parts.calls.fetch(
        endpoint->address, std::move(lookup), "", lookup_timeout, false,
        [self = this->shared_from_this(), endpoint = *endpoint,
         done = std::move(done)](call_result result, whole_response const& response)
        {
            self->parts.router.attempt_ended(endpoint, std::nullopt);
            done(result == call_result::complete && response.head.status == 200);
        });
}

void once_call::refuse_unknown(std::string const& detail)
{
    this->ask_service([self = this->shared_from_this(), detail](bool is_executed)
                      { self->send_unknown(detail, is_executed); });
}

void once_call::send_unknown(std::string const& detail, bool is_executed)
{
    auto refused = this->describe(504, "outcome-unknown", detail, execution::unknown);
    if (is_executed)
    {
        refused.executed = execution::yes;
        refused.type = "answer-lost";
        refused.detail = detail + "; the service says that the request was executed";
    }
    refused.location = once_location(this->call.id, this->key);
    this->call.exchange->refuse(refused);
}

} // namespace

void serve_once(plain_parts const& parts, plain_call call)
{
    std::make_shared<once_call>(parts, std::move(call))->start();
}

} // namespace lagoonladder::completion
