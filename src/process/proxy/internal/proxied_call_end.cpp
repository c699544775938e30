#include "proxied_call.hpp"

#include "answer_status.hpp"
#include "call_report.hpp"

namespace lagoonladder::proxy
{

namespace
{

/// Time after which a caller whose call was not executed may retry.
constexpr duration overload_retry_after = milliseconds(250);

} // namespace

http::response_head proxied_call::make_relayed_head(http::response_head const& answer) const
{
    bool const is_statement = !this->is_idempotent() && means_not_executed(answer.status);
    if (!is_statement)
        return this->context->dependencies.codec.relay(answer);
    // The caller would repeat the call, although the endpoint may have executed it. The response is
    // no longer the endpoint's own, so that neither its seal nor its Retry-After is kept.
    http::response_head replaced{status_of(refusal::endpoint_failed), {}, {}};
    if (auto const* type = answer.headers.find("Content-Type"))
        replaced.headers.set("Content-Type", *type);
    return replaced;
}

void proxied_call::on_caller_disconnected()
{
    if (this->is_over)
        return;
    auto const self = this->shared_from_this();
    this->is_caller_disconnected = true;
    this->cancel_attempt();
    this->finish("caller_gone", 0, "the caller closed the connection");
}

void proxied_call::end_at_stop()
{
    if (this->is_over)
        return;
    auto const self = this->shared_from_this();
    bool const has_run =
        this->may_have_run || (this->current_attempt && this->current_attempt->may_have_run());
    this->cancel_attempt();
    // Another entry can serve the call at once.
    this->give_up(has_run ? refusal::timed_out : refusal::overloaded, "this entry is stopping",
                  overload_retry_after);
}

void proxied_call::cancel_attempt()
{
    if (!this->current_attempt)
        return;
    auto const attempt = std::exchange(this->current_attempt, nullptr);
    this->open_counter.reset();
    attempt->cancel();
    auto const now = this->context->dependencies.time.now();
    this->context->chooser.record_end(now, this->admitted.service, attempt->endpoint().id,
                                      std::nullopt);
    this->context->chooser.pacing().record_cancel(now, this->admitted.service, *attempt);
}

duration proxied_call::default_retry_after()
{
    return this->context->overload.spread_retry(this->context->dependencies.time.now(),
                                                this->admitted, this->call.regions,
                                                overload_retry_after, this->context->random);
}

void proxied_call::give_up_without_endpoint()
{
    if (this->may_have_run)
        return this->give_up(refusal::endpoint_failed, this->describe_missing_endpoint());
    auto const view = this->context->dependencies.control.view();
    auto const wait = this->context->chooser.time_until_room(this->context->dependencies.time.now(),
                                                             *view, this->admitted.service,
                                                             this->call, this->tried_endpoints);
    if (wait && *wait > duration(0))
        return this->give_up(refusal::cold_endpoints, "only cold endpoints are left", wait);
    this->give_up(refusal::no_endpoint, this->describe_missing_endpoint());
}

void proxied_call::give_up(refusal reason, std::string const& detail,
                           std::optional<duration> retry_after)
{
    if (this->is_over)
        return;
    auto const self = this->shared_from_this();
    if (this->relay.is_committed())
    {
        this->exchange->abort();
        return this->finish("broken_off", 0, detail);
    }
    auto const status = status_of(reason);
    http::response_head head{status, {}, {}};
    if (status == status_of(refusal::overloaded))
        head.headers.set(
            "Retry-After",
            std::to_string(to_seconds(retry_after ? *retry_after : this->default_retry_after())));
    this->exchange->respond(std::move(head), detail);
    this->finish(to_string(reason), status, detail);
}

void proxied_call::record_served(unsigned status)
{
    auto const now = this->context->dependencies.time.now();
    bool const is_caller_gone = this->is_caller_disconnected;
    // A caller that leaves in the middle of an answer has used the engine.
    if (is_caller_gone && !this->relay.is_committed())
        return this->context->overload.withdraw(now, this->admitted);
    bool const is_broken_off = status == 0 && !is_caller_gone;
    if (is_broken_off || status >= min_failure_status)
        this->context->overload.record_failure(now, this->admitted);
}

void proxied_call::finish(char const* outcome, unsigned status, std::string const& detail)
{
    if (std::exchange(this->is_over, true))
        return;
    this->timer.cancel();
    this->record_served(status);
    call_end end;
    end.outcome = outcome;
    end.status = status;
    end.reason = detail;
    end.attempts = this->sent_attempts;
    if (!this->tried_endpoints.empty())
        end.endpoint = this->tried_endpoints.back();
    end.endpoint_load = this->load_when_chosen;
    end.prompt_ahead = this->counted_prompt ? this->counted_prompt->tokens_ahead : 0;
    end.arrived = this->exchange->arrived();
    end.first_byte = this->first_byte;
    report_end(*this->context, this->call, this->admitted, end);
    this->exchange->on_closed({});
    this->exchange->on_drained({});
}

} // namespace lagoonladder::proxy
