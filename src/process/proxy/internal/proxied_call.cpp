#include "proxied_call.hpp"

#include <algorithm>

#include "call_report.hpp"
#include "call_timing.hpp"
#include "evacuation_watch.hpp"

namespace lagoonladder::proxy
{

namespace
{

/// No more is read from the endpoint while this many bytes wait to be sent to the caller.
constexpr std::size_t max_unsent_bytes = 64 * 1024;
/// An engine that has sent this many events of a stream has begun the answer without harm.
constexpr std::size_t min_events_without_harm = 3;
/// After this many attempts of which no byte could be sent, the service counts as unreachable.
constexpr std::uint32_t max_unsent_attempts = 4;

std::string milliseconds_text(duration elapsed)
{
    return std::to_string(elapsed / milliseconds(1));
}

} // namespace

proxied_call::proxied_call(std::shared_ptr<proxy_context> shared,
                           std::shared_ptr<http::server_exchange> received, incoming_call decoded,
                           call_admission admission)
    : context(std::move(shared))
    , exchange(std::move(received))
    , call(std::move(decoded))
    , admitted(std::move(admission))
    , relay(exchange, admitted.route->is_stream, call.last_event)
    , timer(context->dependencies.context)
{
    ++this->context->open_calls;
}

proxied_call::~proxied_call()
{
    --this->context->open_calls;
    this->context->running_calls.erase(this);
}

void proxied_call::start()
{
    auto const self = this->shared_from_this();
    this->context->running_calls.emplace(this, self);
    this->exchange->on_closed([self] { self->on_caller_disconnected(); });
    this->exchange->on_drained([self] { self->on_drained(); });
    this->context->budget(this->admitted.service).first_attempt();
    this->try_next();
}

void proxied_call::try_next()
{
    if (this->is_over)
        return;
    auto const now = this->context->dependencies.time.now();
    if (now >= this->admitted.deadline)
        return this->give_up(this->may_have_run ? refusal::timed_out : refusal::too_late,
                             "no time is left for another attempt");
    auto const endpoint = this->choose(this->tried_endpoints);
    if (!endpoint)
        return this->give_up_without_endpoint();
    this->send(*endpoint);
}

std::string proxied_call::describe_missing_endpoint() const
{
    auto const view = this->context->dependencies.control.view();
    if (has_only_evacuated_endpoints(*view, this->admitted.service))
        return "all endpoints of the service are in evacuated data centres";
    return this->call.regions ? "no endpoint in the regions of the call may be used"
                              : "no endpoint may be used";
}

void proxied_call::leave(std::set<data_centre_id> const& evacuated)
{
    if (this->is_over || !this->current_attempt || this->current_attempt->may_have_sent() ||
        !evacuated.contains(this->current_attempt->endpoint().data_centre))
        return;
    this->cancel_attempt();
    this->try_next();
}

std::optional<connection::endpoint_record>
proxied_call::choose(std::vector<endpoint_id> const& excluded)
{
    auto const view = this->context->dependencies.control.view();
    return this->context->chooser.choose(this->context->dependencies.time.now(), *view,
                                         this->route(), this->admitted.service, this->call,
                                         excluded, this->context->random);
}

void proxied_call::send(connection::endpoint_record const& endpoint)
{
    auto const now = this->context->dependencies.time.now();
    forwarding_fields fields;
    fields.time_left = this->admitted.deadline - now;
    fields.expected_endpoint = endpoint.id;
    if (this->admitted.account != nullptr)
        fields.account = this->admitted.account->name;
    fields.engine_priority = find_engine_priority(this->route(), this->admitted.account);
    fields.last_event = this->relay.last_event();
    auto const head = this->context->dependencies.codec.encode(this->exchange->head(), fields);
    count_attempt(*this->context, this->admitted.service, this->sent_attempts);
    this->last_progress = now;
    this->first_byte = {};
    this->events_before_attempt = this->relay.event_count();
    this->is_prompt_harmless = false;
    this->current_attempt = std::make_shared<endpoint_attempt>(
        this->weak_from_this(), this->context->dependencies.codec, endpoint, this->call.id, now);
    this->open_counter.emplace(*this->context, this->admitted, endpoint);
    this->load_when_chosen = this->context->chooser.load(now, endpoint.id);
    this->context->chooser.record_start(now, endpoint.id);
    this->broadcast_prompt(endpoint);
    this->set_timer();
    auto const view = this->context->dependencies.control.view();
    this->current_attempt->send(
        this->context->dependencies.client,
        std::make_shared<std::string const>(
            http::format_request_head(head, this->exchange->body().size())),
        // Shares ownership with the exchange, so that attempts do not copy the body.
        std::shared_ptr<std::string const>(this->exchange, &this->exchange->body()),
        connection_limit(*view, this->admitted));
}

void proxied_call::broadcast_prompt(connection::endpoint_record const& endpoint)
{
    this->counted_prompt.reset();
    if (this->call.prompt.empty())
        return;
    auto const now = this->context->dependencies.time.now();
    if (this->context->options.states_engine_work)
        this->context->engine_work.prompt_sent(
            now, this->admitted.service,
            this->context->chooser.prefill_work(now, endpoint.id, this->call.prompt));
    this->counted_prompt = this->context->chooser.record_sent_prompt(
        now, endpoint.id, endpoint.incarnation, this->call.prompt);
    this->context->dependencies.control.broadcast_prompt(
        {endpoint.id, endpoint.incarnation, this->call.prompt});
}

bool proxied_call::is_idempotent() const
{
    return this->route().retry == version::retry_policy::idempotent || this->route().is_resumable;
}

duration proxied_call::silence_timeout() const
{
    bool const may_try_again =
        this->is_idempotent() && this->sent_attempts < this->route().max_attempts;
    return may_try_again ? route_silence_timeout(this->route(), this->relay.has_content())
                         : duration(0);
}

void proxied_call::set_timer()
{
    auto const now = this->context->dependencies.time.now();
    auto wake_time = this->admitted.deadline;
    auto const timeout = this->silence_timeout();
    if (timeout > duration(0) && !this->is_paused)
        wake_time = std::min(
            wake_time, std::max(this->last_progress, this->kept_despite_silence_at) + timeout);
    this->timer.expires_after(std::max(wake_time - now, duration(0)));
    this->timer.async_wait(
        [weak = this->weak_from_this()](asio::error_code const& problem)
        {
            auto const self = weak.lock();
            if (!problem && self)
                self->on_timer();
        });
}

void proxied_call::on_timer()
{
    if (this->is_over || this->timer.expiry() > std::chrono::steady_clock::now())
        return;
    auto const now = this->context->dependencies.time.now();
    if (now >= this->admitted.deadline)
    {
        if (this->current_attempt)
            this->end_attempt(attempt_result::silent, "the deadline has passed");
        return this->give_up(this->may_have_run ? refusal::timed_out : refusal::too_late,
                             "the deadline has passed");
    }
    auto const timeout = this->silence_timeout();
    auto const silent_since = std::max(this->last_progress, this->kept_despite_silence_at);
    bool const is_silent =
        timeout > duration(0) && now >= silent_since + timeout && !this->is_paused;
    if (is_silent && this->current_attempt)
        this->on_silence(timeout);
    else
        this->set_timer();
}

void proxied_call::on_silence(duration silence)
{
    // The endpoint may still respond, so its attempt ends only when another one can replace it.
    auto excluded = this->tried_endpoints;
    excluded.push_back(this->current_attempt->endpoint().id);
    auto const other_endpoint = this->choose(excluded);
    bool const is_repeated = other_endpoint && this->try_acquire_retry(attempt_result::silent);
    report_silence(*this->context, this->call, *this->current_attempt, silence, is_repeated,
                   other_endpoint.has_value());
    if (!is_repeated)
    {
        auto const now = this->context->dependencies.time.now();
        this->kept_despite_silence_at = now;
        this->context->chooser.record_silence(now, this->admitted.service,
                                              this->current_attempt->endpoint().id,
                                              now - this->current_attempt->started());
        return this->set_timer();
    }
    this->end_attempt(attempt_result::silent,
                      "no progress for " + milliseconds_text(silence) + " ms");
    this->send(*other_endpoint);
}

void proxied_call::on_answer(endpoint_attempt& attempt, http::response_head const& head)
{
    this->last_progress = this->context->dependencies.time.now();
    this->first_byte = this->last_progress;
    this->context->chooser.pacing().record_head(this->last_progress, attempt);
    if (!this->route().is_stream)
        this->context->chooser.pacing().record_answer(this->last_progress, this->admitted.service,
                                                      attempt);
    // The end of a stream is seconds later, when the stated time is out of date.
    auto const& load = attempt.answer().load;
    if (load && load->relative_time)
        this->context->chooser.record_load(this->first_byte, attempt.endpoint().id, *load);
    auto const* length = head.headers.find("Content-Length");
    bool const has_chunks = head.headers.find("Transfer-Encoding") != nullptr;
    this->relay.start(this->make_relayed_head(head),
                      length == nullptr ? std::nullopt : http::parse_number(*length),
                      length == nullptr && !has_chunks);
    if (!this->route().is_stream)
        this->count_usage();
}

void proxied_call::on_answer_bytes(endpoint_attempt& attempt, std::string_view bytes)
{
    auto const now = this->context->dependencies.time.now();
    bool const is_first = !this->relay.has_content();
    if (this->route().is_stream && is_first)
        this->on_stream_begun(attempt, now);
    auto const events_before = this->relay.event_count();
    // The end of the attempt after a malformed stream may release the last reference to this call.
    auto const self = this->shared_from_this();
    if (!this->relay.add(bytes))
    {
        this->end_attempt(attempt_result::broken, this->relay.problem());
        return this->retry_or_fail(attempt_result::broken, this->relay.problem());
    }
    // Bytes of an incomplete event are no progress: a stalled engine may send one now and then.
    if (!this->route().is_stream || is_first || this->relay.event_count() > events_before)
        this->last_progress = now;
    this->record_prompt_progress(now);
    if (this->exchange->unsent_bytes() > max_unsent_bytes && !this->is_paused &&
        this->current_attempt)
    {
        this->is_paused = true;
        attempt.pause();
    }
}

void proxied_call::on_stream_begun(endpoint_attempt& attempt, time_point now)
{
    this->last_progress = now;
    this->first_byte = now;
    this->context->chooser.pacing().record_answer(now, this->admitted.service, attempt);
    this->count_usage();
    this->set_timer();
    if (this->counted_prompt)
        this->context->chooser.record_answered_prompt(now, attempt.endpoint(),
                                                      *this->counted_prompt);
}

void proxied_call::on_drained()
{
    if (!std::exchange(this->is_paused, false) || !this->current_attempt)
        return;
    this->last_progress = this->context->dependencies.time.now();
    this->current_attempt->resume();
    this->set_timer();
}

void proxied_call::on_attempt_end(endpoint_attempt& attempt, attempt_result result,
                                  std::string const& reason)
{
    if (this->is_over || this->current_attempt.get() != &attempt)
        return;
    auto const self = this->shared_from_this();
    // try_acquire_retry() takes a retry from the budget each time that it returns true, so it is
    // called only once.
    bool const is_failed = result == attempt_result::failed_answer;
    bool const is_repeated = is_failed && this->try_acquire_retry(result);
    bool const is_final = result == attempt_result::complete || (is_failed && !is_repeated);
    if (is_final && this->relay.complete())
    {
        auto const status = this->relay.status();
        auto const detail = this->describe_answer(attempt, reason);
        this->end_attempt(result, reason);
        return this->finish("answered", status, detail);
    }
    auto const final_result = is_final ? attempt_result::broken : result;
    this->end_attempt(final_result, reason);
    if (is_repeated)
        return this->try_next();
    this->retry_or_fail(final_result, reason);
}

std::string proxied_call::describe_answer(endpoint_attempt const& attempt,
                                          std::string const& reason) const
{
    if (this->relay.status() == attempt.status())
        return reason;
    return "the endpoint answered with status " + std::to_string(attempt.status()) +
           " and does not state that the call was not executed";
}

void proxied_call::end_attempt(attempt_result result, std::string const& reason)
{
    auto const attempt = std::exchange(this->current_attempt, nullptr);
    this->open_counter.reset();
    auto const now = this->context->dependencies.time.now();
    auto const& endpoint = attempt->endpoint();
    this->tried_endpoints.push_back(endpoint.id);
    if (result == attempt_result::not_sent)
        ++this->unsent_attempts;
    else
        ++this->sent_attempts;
    this->may_have_run = this->may_have_run || attempt->may_have_run();
    // on_answer() has recorded a report with a stated time, unless the head was not passed on.
    auto const& load = attempt->answer().load;
    bool const is_load_recorded = load && load->relative_time && this->first_byte != time_point();
    if (load && !is_load_recorded)
        this->context->chooser.record_load(now, endpoint.id, *load);
    std::optional<request::route_outcome> outcome;
    if (attempt->answer().is_from_other_endpoint)
    {
        this->context->chooser.mark_replaced(now, endpoint);
        this->context->dependencies.client.close_idle_connections(endpoint.address);
    }
    else if (result != attempt_result::not_run)
    {
        outcome.emplace();
        outcome->ok = result == attempt_result::complete;
        outcome->unreachable = result == attempt_result::not_sent;
        outcome->first_byte =
            this->first_byte == time_point() ? duration(0) : this->first_byte - attempt->started();
        outcome->elapsed = now - attempt->started();
    }
    this->context->chooser.record_end(now, this->admitted.service, endpoint.id, outcome);
    this->context->chooser.pacing().record_end(now, this->admitted.service, *attempt, result);
    if (result == attempt_result::complete)
        this->context->overload.call_ended(this->admitted.service, now - attempt->started());
    this->record_sample(*attempt, result);
    this->record_prompt_outcome(*attempt, result);
    if (result != attempt_result::complete)
        report_failed_attempt(*this->context, this->call, *attempt,
                              {result, reason, this->relay.event_count()});
    if (result == attempt_result::silent || result == attempt_result::broken)
        attempt->cancel();
    if (!this->relay.is_committed() || result != attempt_result::complete)
        this->relay.interrupt();
}

void proxied_call::retry_or_fail(attempt_result result, std::string const& reason)
{
    if (this->is_over)
        return;
    if (result == attempt_result::not_sent && this->unsent_attempts < max_unsent_attempts)
        return this->try_next();
    if (this->try_acquire_retry(result))
        return this->try_next();
    if (result == attempt_result::not_run && !this->may_have_run)
        return this->give_up(refusal::overloaded, reason);
    if (result == attempt_result::not_sent && !this->may_have_run)
        return this->give_up(refusal::no_endpoint, reason);
    this->give_up(refusal::endpoint_failed, reason);
}

bool proxied_call::try_acquire_retry(attempt_result result)
{
    if (this->relay.is_committed() && !(this->route().is_resumable && this->relay.can_continue()))
        return false;
    bool const has_attempt = this->current_attempt != nullptr;
    auto const attempts = this->sent_attempts + (has_attempt ? 1 : 0);
    if (result == attempt_result::not_sent || attempts >= this->route().max_attempts)
        return false;
    auto const now = this->context->dependencies.time.now();
    if (this->context->crashes.is_suspected(now, this->call))
        return false;
    request::retry_query query;
    query.attempts = attempts;
    query.deadline = this->admitted.deadline;
    query.idempotent = this->is_idempotent();
    query.dispatched = this->may_have_run || (has_attempt && this->current_attempt->may_have_run());
    auto const decision =
        this->context->budget(this->admitted.service).retry(now, query, this->context->random);
    return decision.delay.has_value();
}

void proxied_call::record_sample(endpoint_attempt const& attempt, attempt_result result)
{
    if (result == attempt_result::not_sent || result == attempt_result::not_run)
        return;
    // A call that fails at each endpoint counts once: all its attempts go to the same version.
    if (std::exchange(this->is_outcome_recorded, true))
        return;
    auto const& control = this->context->dependencies.control;
    this->context->dependencies.control.record(
        make_sample(this->context->dependencies.time.now(), *control.view(), this->admitted,
                    attempt, result == attempt_result::complete, this->first_byte));
}

void proxied_call::record_prompt_outcome(endpoint_attempt const& attempt, attempt_result result)
{
    auto const now = this->context->dependencies.time.now();
    bool const is_answered = result == attempt_result::complete && this->relay.status() == 200;
    if (is_answered)
        return this->context->crashes.record_answer(now, this->call);
    bool const is_crash = result == attempt_result::broken && attempt.was_ended_by_endpoint();
    if (is_crash && !this->is_prompt_harmless)
        this->context->crashes.record_crash(now, this->call, attempt.endpoint().id,
                                            attempt.started());
}

void proxied_call::record_prompt_progress(time_point now)
{
    bool const has_progress =
        this->relay.event_count() >= this->events_before_attempt + min_events_without_harm;
    if (!has_progress || std::exchange(this->is_prompt_harmless, true))
        return;
    this->context->crashes.record_answer(now, this->call);
}

void proxied_call::count_usage()
{
    if (this->admitted.account != nullptr)
        this->context->dependencies.control.count_usage(this->admitted.account->name);
}

} // namespace lagoonladder::proxy
