#include <plain_call.hpp>

#include <algorithm>
#include <thread>

#include <once_status.hpp>
#include <traffic_connection_threads.hpp>

namespace lagoonladder::daemon
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

/// One non-idempotent call.
class once_call
{
public:
    once_call(plain_parts const& shared, plain_call const& described)
        : parts(shared)
        , call(described)
        , key{described.account.name, described.service.name,
              idempotency_key(described.key.empty() ? described.id.value() : described.key)}
        , attempt(described.id.value())
        , digest(version::sha256_hex(described.request->method + "\n" + described.target + "\n" +
                                     described.request->body))
    {
    }

    void serve(httplib::Response& response);

private:
    request::once_reply commit(version::command_body body);
    request::once_reply begin();
    void dispatch(httplib::Response& response);
    void answer(httplib::Response& response, httplib::Response const& from);
    void answer_known(httplib::Response& response, request::once_reply const& known);
    void wait_for_outcome(httplib::Response& response);
    [[noreturn]] void refuse_committed(request::once_reply const& reply);
    [[noreturn]] void withdraw();
    void withdraw_later();
    [[noreturn]] void refuse_unknown(std::string const& detail);
    bool is_entry_lost(attempt_id const& other) const;
    bool is_executed_by_service() const;
    problem describe(int status, std::string type, std::string detail, execution executed) const;

    plain_parts const& parts;
    plain_call const& call;
    request::once_key const key;
    attempt_id const attempt;
    std::string const digest;
};

problem once_call::describe(int status, std::string type, std::string detail,
                            execution executed) const
{
    return {status, std::move(type), std::move(detail), executed, this->call.id.value(), seconds(1),
            {}};
}

request::once_reply once_call::commit(version::command_body body)
{
    auto const result = this->parts.context.control.propose(std::move(body), commit_timeout);
    auto const* reply = std::get_if<request::once_reply>(&result);
    if (!reply)
        throw outcome_unknown_error("the control plane gave no answer for the record");
    return *reply;
}

request::once_reply once_call::begin()
{
    auto const now = this->parts.context.time.now();
    auto const wall = this->parts.context.time.wall_now();
    request::once_begin begun{this->key, this->digest, this->attempt, wall,
                              wall + (this->call.deadline - now)};
    try
    {
        return this->commit(std::move(begun));
    }
    catch (not_proposed_error const& failed)
    {
        // Without a caller's key no earlier attempt can have run.
        auto refused = this->describe(503, "no-quorum", failed.what(),
                                      this->call.key.empty() ? execution::no : execution::unknown);
        throw refusal(refused);
    }
    catch (outcome_unknown_error const& failed)
    {
        this->withdraw_later();
        this->refuse_unknown(failed.what());
    }
}

/// The grant may still be committed, and this attempt does not use it any more.
/// Without a withdrawal a resend of the key could not run either.
void once_call::withdraw_later()
{
    request::once_refuse const command{this->key, this->digest, this->attempt, refused_retry_after};
    this->parts.background.run(
        [&context = this->parts.context, command]
        {
            try
            {
                context.control.propose(command, late_commit_timeout);
            }
            catch (daemon_error const& failed)
            {
                context.events.emit(
                    severity::warning, "once.not_withdrawn",
                    {{"attempt", command.attempt.value()}, {"reason", failed.what()}});
            }
        });
}

void once_call::serve(httplib::Response& response)
{
    auto const reply = this->begin();
    switch (reply.verdict)
    {
    case request::once_verdict::granted:
        return this->dispatch(response);
    case request::once_verdict::answered:
        return this->answer_known(response, reply);
    case request::once_verdict::in_progress:
        return this->wait_for_outcome(response);
    case request::once_verdict::refused:
        this->refuse_committed(reply);
    case request::once_verdict::conflict:
        throw refusal(this->describe(409, "key-conflict",
                                     "the key was used with another method, path or body",
                                     execution::no));
    case request::once_verdict::outcome_unknown:
        break;
    }
    this->refuse_unknown("the request was sent to an endpoint and its outcome is not known");
}

void once_call::dispatch(httplib::Response& response)
{
    endpoint_query query{this->call.service.name, this->call.version, "", {}};
    while (this->parts.context.time.now() < this->call.deadline)
    {
        auto const view = this->parts.context.control.view();
        auto const endpoint = this->parts.router.choose(*view, query);
        if (!endpoint)
            break;
        auto const tried = run_plain_attempt(this->parts, this->call, *endpoint, true);
        if (tried.result == upstream_result::complete)
            return this->answer(response, tried.response);
        if (tried.result != upstream_result::not_connected)
        {
            try
            {
                this->commit(request::once_finish{this->key, this->attempt, std::nullopt});
            }
            catch (daemon_error const&)
            {
                // The record becomes `unknown` at its deadline.
            }
            this->refuse_unknown("the connection broke after the request was sent");
        }
        query.excluded.push_back(endpoint->id);
    }
    this->withdraw();
}

void once_call::answer(httplib::Response& response, httplib::Response const& from)
{
    request::stored_answer stored{from.status, from.get_header_value("Content-Type"), from.body};
    if (stored.body.size() > this->parts.context.config.max_body_bytes)
    {
        stored.content_type = "text/plain";
        stored.body = "the answer was delivered once and was too large to be stored\n";
    }
    try
    {
        this->commit(request::once_finish{this->key, this->attempt, std::move(stored)});
    }
    catch (daemon_error const& failed)
    {
        // The caller gets the answer all the same; only a resend cannot get it.
        this->parts.context.events.emit(
            severity::warning, "once.answer_not_stored",
            {{"request_id", this->call.id.value()}, {"reason", failed.what()}});
    }
    copy_answer(from, response);
}

void once_call::answer_known(httplib::Response& response, request::once_reply const& known)
{
    response.status = known.answer->status;
    response.set_header("Idempotent-Replayed", "true");
    response.set_content(known.answer->body, known.answer->content_type);
}

void once_call::wait_for_outcome(httplib::Response& response)
{
    auto pause = first_poll;
    while (true)
    {
        auto const left = this->call.deadline - this->parts.context.time.now();
        if (left <= pause)
            this->refuse_unknown("another attempt of this key is in progress");
        std::this_thread::sleep_for(pause);
        pause = std::min(pause * 2, max_poll);
        std::optional<request::once_reply> found;
        try
        {
            found =
                this->parts.context.control.find_once(this->key, std::min(left, commit_timeout));
        }
        catch (outcome_unknown_error const& failed)
        {
            this->refuse_unknown(failed.what());
        }
        if (found && found->verdict == request::once_verdict::answered)
            return this->answer_known(response, *found);
        if (found && found->verdict == request::once_verdict::refused)
            this->refuse_committed(*found);
        if (!found || found->verdict == request::once_verdict::outcome_unknown)
            this->refuse_unknown("another attempt of this key was sent; its outcome is not known");
        if (this->is_entry_lost(found->attempt))
            this->refuse_unknown("the entry that sent an earlier attempt of this key is gone");
    }
}

void once_call::refuse_committed(request::once_reply const& reply)
{
    auto refused =
        this->describe(503, "refused", "the request was refused before it was sent", execution::no);
    refused.retry_after =
        std::max<duration>(reply.reopen_at - this->parts.context.time.wall_now(), seconds(1));
    throw refusal(refused);
}

void once_call::withdraw()
{
    request::once_reply reply;
    try
    {
        reply = this->commit(
            request::once_refuse{this->key, this->digest, this->attempt, refused_retry_after});
    }
    catch (daemon_error const& failed)
    {
        this->refuse_unknown(failed.what());
    }
    if (reply.verdict == request::once_verdict::refused)
        this->refuse_committed(reply);
    this->refuse_unknown("no endpoint took the request and the refusal was not committed");
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
bool once_call::is_executed_by_service() const
{
    auto path = this->call.service.status_lookup;
    auto const place = path.find("{key}");
    if (place == std::string::npos)
        return false;
    path.replace(place, std::string("{key}").size(),
                 httplib::detail::encode_query_param(this->key.key.value()));
    auto const view = this->parts.context.control.view();
    auto const endpoint =
        this->parts.router.choose(*view, {this->call.service.name, this->call.version, "", {}});
    if (!endpoint)
        return false;
    httplib::Request lookup;
    lookup.method = "GET";
    lookup.path = path;
    lookup.headers.emplace("X-Account", this->call.account.name.value());
    httplib::Response response;
    auto const result =
        this->parts.upstream.call(endpoint->address, lookup_timeout, lookup, response);
    this->parts.router.attempt_ended(*endpoint, std::nullopt);
    return result == upstream_result::complete && response.status == 200;
}

void once_call::refuse_unknown(std::string const& detail)
{
    auto refused = this->describe(504, "outcome-unknown", detail, execution::unknown);
    if (this->is_executed_by_service())
    {
        refused.executed = execution::yes;
        refused.type = "answer-lost";
        refused.detail = detail + "; the service says that the request was executed";
    }
    refused.location = once_location(this->call.id, this->key);
    throw refusal(refused);
}

} // namespace

void serve_once(plain_parts const& parts, plain_call const& call, httplib::Response& response)
{
    once_call(parts, call).serve(response);
}

} // namespace lagoonladder::daemon
