#include "proxied_call.hpp"

#include "call_report.hpp"

namespace lagoonladder::proxy
{

namespace
{

/// When a caller whose call did not run should come back.
constexpr duration overload_retry_after = milliseconds(250);

} // namespace

void proxied_call::on_caller_gone()
{
    if (this->is_over)
        return;
    auto const self = this->shared_from_this();
    this->cancel_attempt();
    this->finish("caller_gone", 0, "the caller closed the connection");
}

void proxied_call::end_at_stop()
{
    if (this->is_over)
        return;
    auto const self = this->shared_from_this();
    bool const has_run = this->may_have_run || (this->current && this->current->may_have_run());
    this->cancel_attempt();
    this->give_up(has_run ? refusal::timed_out : refusal::overloaded, "this entry is stopping");
}

void proxied_call::cancel_attempt()
{
    if (!this->current)
        return;
    auto const attempt = std::exchange(this->current, nullptr);
    this->counted.reset();
    attempt->cancel();
    this->context->chooser.ended(this->context->parts.time.now(), this->admitted.service,
                                 attempt->endpoint().id, std::nullopt);
}

void proxied_call::give_up(refusal reason, std::string const& detail)
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
        head.headers.set("Retry-After", std::to_string(to_seconds(overload_retry_after)));
    this->exchange->respond(std::move(head), detail);
    this->finish(to_string(reason), status, detail);
}

void proxied_call::finish(char const* outcome, unsigned status, std::string const& detail)
{
    if (std::exchange(this->is_over, true))
        return;
    this->timer.cancel();
    call_end end;
    end.outcome = outcome;
    end.status = status;
    end.reason = detail;
    end.attempts = this->sends;
    if (!this->tried.empty())
        end.endpoint = this->tried.back();
    end.endpoint_load = this->chosen_load;
    end.prompt_ahead = this->sent ? this->sent->tokens_ahead : 0;
    end.arrived = this->exchange->arrived();
    end.first_byte = this->first_byte;
    report_end(*this->context, this->call, this->admitted, end);
    this->exchange->on_closed({});
    this->exchange->on_drained({});
}

} // namespace lagoonladder::proxy
