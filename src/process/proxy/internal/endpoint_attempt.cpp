#include "endpoint_attempt.hpp"

#include "answer_status.hpp"

namespace lagoonladder::proxy
{

namespace
{

/// A failure response is buffered until its end, since the call may be repeated at another endpoint
/// only while no byte was passed on. A longer one ends the attempt.
constexpr std::size_t max_failed_answer_bytes = 64 * 1024;

} // namespace

char const* to_string(attempt_result result)
{
    switch (result)
    {
    case attempt_result::complete:
        return "complete";
    case attempt_result::not_sent:
        return "not_sent";
    case attempt_result::not_run:
        return "not_run";
    case attempt_result::failed_answer:
        return "failed_answer";
    case attempt_result::broken:
        return "broken";
    case attempt_result::silent:
        return "silent";
    }
    return "unknown";
}

endpoint_attempt::endpoint_attempt(std::weak_ptr<attempt_owner> owning_call,
                                   call_codec const& translation,
                                   connection::endpoint_record destination, request_id id,
                                   time_point now)
    : owner(std::move(owning_call))
    , codec(translation)
    , target(std::move(destination))
    , request(std::move(id))
    , start_time(now)
{
}

void endpoint_attempt::send(http::client& client, std::shared_ptr<std::string const> head_bytes,
                            std::shared_ptr<std::string const> body, std::size_t max_connections)
{
    this->call = client.send(this->target.address, std::move(head_bytes), this->shared_from_this(),
                             max_connections, std::move(body));
}

void endpoint_attempt::cancel()
{
    this->is_over = true;
    if (this->call)
        this->call->cancel();
}

void endpoint_attempt::pause()
{
    if (this->call)
        this->call->pause();
}

void endpoint_attempt::resume()
{
    if (this->call)
        this->call->resume();
}

bool endpoint_attempt::may_have_run() const
{
    return this->may_have_sent() && !this->received.is_not_executed;
}

http::head_action endpoint_attempt::on_head(http::response_head const& head)
{
    auto const decoded = this->codec.decode(head);
    // A late response to an earlier request on the connection precedes the one to this request.
    if (!decoded.request.value().empty() && decoded.request != this->request)
        return http::head_action::skip;
    this->answer_status = head.status;
    if (decoded.request.value().empty() && this->call->is_on_reused_connection())
        return this->reject(
            "the response states no request id and may be that of an earlier request "
            "on the connection");
    this->received = decoded;
    if (decoded.is_not_executed)
    {
        this->drain();
        return http::head_action::accept;
    }
    auto const problem = this->find_problem(head);
    if (!problem.empty())
        return this->reject(problem);
    this->is_valid = true;
    if (auto const owning_call = this->owner.lock())
        owning_call->on_answer(*this, head);
    return http::head_action::accept;
}

http::head_action endpoint_attempt::reject(std::string const& problem)
{
    auto const self = this->shared_from_this();
    this->call->cancel();
    this->end(attempt_result::broken, problem);
    return http::head_action::accept;
}

void endpoint_attempt::drain()
{
    // The head already states that the call was not executed, so an endless body must not delay the
    // call. A response that has arrived completely ends the attempt before this handler runs.
    this->call->drain(
        [self = this->shared_from_this()]
        {
            if (self->is_over)
                return;
            self->on_end();
            if (self->received.is_from_other_endpoint)
                self->call->cancel();
        });
}

std::string endpoint_attempt::find_problem(http::response_head const& head) const
{
    if (this->received.has_unexpected_encoding)
        return "the response has a content encoding that was not requested";
    if (means_not_executed(head.status) && !this->received.has_seal)
        return "the refusal has no seal header and does not state that the call was not executed";
    if (!is_success(head.status))
        return {};
    if (!this->received.has_seal)
        return "the response has no seal header";
    if (this->received.request.value().empty())
        return "the response states no request id";
    return {};
}

void endpoint_attempt::on_body(std::string_view bytes)
{
    auto const owning_call = this->owner.lock();
    if (!this->is_valid || this->is_over || !owning_call)
        return;
    this->body_bytes += bytes.size();
    if (this->answer_status < min_failure_status || this->body_bytes <= max_failed_answer_bytes)
        return owning_call->on_answer_bytes(*this, bytes);
    auto const self = this->shared_from_this();
    this->call->cancel();
    this->end(attempt_result::broken, "the response with status " +
                                          std::to_string(this->answer_status) + " exceeds " +
                                          std::to_string(max_failed_answer_bytes) + " bytes");
}

void endpoint_attempt::on_end()
{
    if (this->received.is_not_executed)
        return this->end(attempt_result::not_run,
                         "status " + std::to_string(this->answer_status) + ", not executed");
    this->is_ended_by_endpoint = true;
    bool const failed = this->answer_status >= min_failure_status;
    this->end(failed ? attempt_result::failed_answer : attempt_result::complete,
              failed ? "status " + std::to_string(this->answer_status) : "");
}

void endpoint_attempt::on_failure(http::call_failure failure, std::string const& reason)
{
    bool const is_unsent = failure == http::call_failure::not_sent;
    // The statement that the call was not executed holds even if the body is cut off.
    if (this->received.is_not_executed)
        return this->end(attempt_result::not_run, reason);
    this->is_ended_by_endpoint = !is_unsent;
    this->end(is_unsent ? attempt_result::not_sent : attempt_result::broken, reason);
}

void endpoint_attempt::end(attempt_result result, std::string const& reason)
{
    if (std::exchange(this->is_over, true))
        return;
    auto const self = this->shared_from_this();
    if (auto const owning_call = this->owner.lock())
        owning_call->on_attempt_end(*this, result, reason);
}

} // namespace lagoonladder::proxy
