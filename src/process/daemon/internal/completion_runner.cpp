#include <completion_runner.hpp>

#include <algorithm>
#include <thread>
#include <utility>

#include <admission_gate.hpp>
#include <traffic_connection_threads.hpp>
#include <traffic_problem.hpp>

namespace lagoonladder::daemon
{

namespace
{

// A failing engine is given up on after this many failures in a row without a
// new token, so that the caller gets the final answer early.
constexpr std::uint32_t max_failures = 8;

// A request of a move's new version goes to the old one after these failures.
constexpr std::uint32_t failures_to_fall_back = 2;

// Looking for leaving marks at each token would copy the view's pointer too often.
constexpr duration leaving_check_interval = milliseconds(50);

constexpr duration no_endpoint_wait = milliseconds(50);
constexpr duration base_back_off = milliseconds(25);
constexpr duration max_back_off = seconds(1);

// Longer than copying the cache of a long prompt between neighbours takes, short
// against recomputing it.
constexpr duration kv_timeout = milliseconds(500);

connection::endpoint_record const* find_endpoint(control_view const& view,
                                                 connection::endpoint_record const& endpoint)
{
    auto const service = view.endpoints.find(endpoint.service);
    if (service == view.endpoints.end())
        return nullptr;
    auto const found =
        std::find_if(service->second.begin(), service->second.end(),
                     [&endpoint](auto const& known) { return known.id == endpoint.id; });
    return found == service->second.end() ? nullptr : &*found;
}

route_name route_of(std::string const& path)
{
    return route_name(path.find("/chat/") == std::string::npos ? "completions" : "chat");
}

} // namespace

completion_runner::completion_runner(completion_parts const& shared,
                                     request::accepted_request accepted, token_offset resume_at)
    : parts(shared)
    , request(std::move(accepted))
    , body(nlohmann::json::parse(this->request.body))
    , assembly(resume_at)
    , version(this->request.version)
{
    auto const view = this->parts.context.control.view();
    if (auto const* known = view->shared->configuration.find_service(this->request.service))
        this->service = *known;
    auto const left = this->request.deadline - this->parts.context.time.wall_now();
    this->deadline = this->parts.context.time.now() + left;
}

bool completion_runner::is_past_deadline() const
{
    return this->parts.context.time.now() >= this->deadline;
}

void completion_runner::run(std::optional<connection::endpoint_record> first)
{
    while (true)
    {
        if (this->is_past_deadline())
        {
            if (first)
                this->parts.router.attempt_ended(*first, std::nullopt);
            return this->fail(504, "deadline",
                              "the deadline passed before the answer was complete");
        }
        auto const endpoint = first ? first : this->next_endpoint();
        first.reset();
        if (!endpoint)
            std::this_thread::sleep_for(no_endpoint_wait);
        else if (!this->try_endpoint(*endpoint))
            return;
    }
}

std::optional<connection::endpoint_record> completion_runner::next_endpoint()
{
    auto const view = this->parts.context.control.view();
    auto const split = view->shared->splits.find(this->request.service);
    bool const is_candidate = split != view->shared->splits.end() &&
                              this->version != split->second.stable &&
                              !split->second.stable.value().empty();
    // A move may have ended since the request was accepted.
    if (is_candidate &&
        (this->version != split->second.candidate || this->failures >= failures_to_fall_back))
        this->version = split->second.stable;
    endpoint_query query{this->request.service, this->version, this->request.body, this->excluded};
    auto chosen = this->parts.router.choose(*view, query);
    if (!chosen && !this->excluded.empty())
    {
        this->excluded.clear();
        query.excluded.clear();
        chosen = this->parts.router.choose(*view, query);
    }
    if (!chosen && is_candidate && this->version != split->second.stable)
    {
        this->version = query.version = split->second.stable;
        chosen = this->parts.router.choose(*view, query);
    }
    return chosen;
}

kv_export completion_runner::move_cache(connection::endpoint_record const& to)
{
    auto moved = std::exchange(this->exported, kv_export());
    if (moved.handle.empty())
        return moved;
    if (!import_kv(to.address, moved, this->cache_source, kv_timeout))
        moved = kv_export();
    this->parts.context.metrics.add(
        "kv_moves_total", {{"result", moved.handle.empty() ? "not_imported" : "imported"}});
    return moved;
}

std::string completion_runner::attempt_body(attempt_state const& attempt,
                                            kv_export const& imported) const
{
    auto extended = this->body;
    extended["stream"] = true;
    // Engines know the attempt and not the request, so that cancelling a superseded
    // attempt cannot end its successor on the same engine.
    extended["request_id"] = attempt.id;
    extended["priority"] =
        this->request.priority == request::request_priority::draft ? "draft" : "interactive";
    if (this->assembly.next_offset().value() > 0)
        extended["resume_offset"] = this->assembly.next_offset();
    if (!imported.handle.empty())
        extended["kv_handle"] = imported.handle;
    return extended.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void completion_runner::report_resume(attempt_state const& attempt, bool by_import)
{
    auto const offset = this->assembly.next_offset().value();
    if (!by_import)
        this->parts.context.metrics.add("recomputed_tokens_total",
                                        {{"service", this->request.service.value()}}, offset);
    this->parts.context.metrics.add("resumed_requests_total",
                                    {{"service", this->request.service.value()}});
    this->parts.context.events.emit(severity::info, "request.resumed",
                                    {{"request_id", this->request.id.value()},
                                     {"endpoint", attempt.endpoint.id.value()},
                                     {"offset", std::to_string(offset)},
                                     {"method", by_import ? "kv_import" : "recompute"}});
}

bool completion_runner::try_endpoint(connection::endpoint_record const& endpoint)
{
    auto const imported = this->move_cache(endpoint);
    bool const by_import = !imported.handle.empty();
    attempt_state attempt;
    attempt.endpoint = endpoint;
    attempt.id = attempt_id(this->request.id.value() + "/" + this->parts.context.config.vm.value() +
                            "/" + std::to_string(++this->attempt_count));
    auto const resume_at =
        this->assembly.begin_attempt(attempt.id, by_import ? request::resume_method::kv_import
                                                           : request::resume_method::recompute);
    if (this->attempt_count > 1 || resume_at.value() > 0)
        this->report_resume(attempt, by_import);
    attempt.started = attempt.last_token = attempt.last_check = this->parts.context.time.now();
    attempt_request const posted{
        endpoint.address, this->request.path, this->attempt_body(attempt, imported),
        std::clamp<duration>(this->deadline - attempt.started, milliseconds(1),
                             this->service.progress_timeout)};
    auto const result = run_attempt(
        this->parts.upstream, posted,
        [&](engine_event const& event, std::string_view data)
        { return this->take_token(attempt, event, data); },
        [&] { return this->may_continue(attempt); });
    this->end_attempt(attempt, result);
    return this->judge(attempt, result);
}

bool completion_runner::take_token(attempt_state& attempt, engine_event const& event,
                                   std::string_view data)
{
    auto const expected = this->assembly.next_offset();
    token_offset const offset(event.offset.value_or(expected.value()));
    auto const verdict = this->assembly.accept(attempt.id, offset);
    if (verdict == request::token_verdict::gap)
    {
        attempt.has_gap = true;
        return false;
    }
    if (verdict != request::token_verdict::forward)
        return true;
    auto const now = this->parts.context.time.now();
    auto& sample = attempt.sample;
    if (attempt.tokens++ == 0)
        sample.first_token.add(now - attempt.started);
    else
        sample.between_tokens.add(now - attempt.last_token);
    attempt.last_token = now;
    this->failures = 0;
    if (!this->parts.store.append(this->request.id, offset, {std::string(data)}))
        return false;
    this->parts.companions.updated(this->request.id, this->assembly.next_offset(), false);
    return true;
}

bool completion_runner::may_continue(attempt_state& attempt)
{
    auto const now = this->parts.context.time.now();
    if (now - attempt.last_check < leaving_check_interval)
        return true;
    attempt.last_check = now;
    auto const view = this->parts.context.control.view();
    auto const* known = find_endpoint(*view, attempt.endpoint);
    attempt.is_leaving = known && known->state == connection::endpoint_state::leaving;
    if (attempt.is_leaving && attempt.tokens > 0)
    {
        // Engines drop the cache of a request whose connection is closed.
        this->exported = export_kv(attempt.endpoint.address, attempt.id, kv_timeout);
        this->cache_source = attempt.endpoint.address;
    }
    return !attempt.is_leaving && now < this->deadline;
}

void completion_runner::end_attempt(attempt_state& attempt, attempt_result const& result)
{
    auto const now = this->parts.context.time.now();
    auto const elapsed = now - attempt.started;
    bool const is_fault = result.end == attempt_end::failed || attempt.has_gap;
    request::route_outcome outcome;
    outcome.ok = !is_fault && result.end != attempt_end::busy;
    outcome.elapsed = elapsed;
    outcome.tokens = attempt.tokens;
    if (attempt.tokens > 0)
        outcome.first_byte = attempt.last_token - attempt.started;
    bool const says_nothing = result.end == attempt_end::stopped && !attempt.has_gap;
    this->parts.router.attempt_ended(attempt.endpoint,
                                     says_nothing ? std::nullopt : std::make_optional(outcome));
    this->parts.gate.pump();

    auto& sample = attempt.sample;
    sample.service = this->request.service;
    sample.version = attempt.endpoint.version;
    sample.route = route_of(this->request.path);
    sample.requests = 1;
    sample.failures = is_fault ? 1 : 0;
    sample.whole_call.add(elapsed);
    this->parts.context.control.record_traffic(sample);
    observability::metric_labels const labels{{"service", sample.service.value()},
                                              {"version", sample.version.value()}};
    this->parts.context.metrics.add("tokens_total", labels, attempt.tokens);
    if (result.end == attempt_end::finished)
        return;
    this->parts.context.metrics.add("failed_attempts_total", labels);
    this->parts.context.events.emit(
        severity::warning, "attempt.failed",
        {{"request_id", this->request.id.value()},
         {"endpoint", attempt.endpoint.id.value()},
         {"version", attempt.endpoint.version.value()},
         {"offset", std::to_string(this->assembly.next_offset().value())},
         {"reason", attempt.is_leaving ? "the endpoint is leaving"
                    : attempt.has_gap  ? "tokens are missing"
                                       : result.detail}});
}

bool completion_runner::judge(attempt_state const& attempt, attempt_result const& result)
{
    if (result.end == attempt_end::finished)
    {
        this->assembly.finish(attempt.id, this->assembly.next_offset());
        this->finish({result.finish_reason, "", 0});
        return false;
    }
    this->assembly.abandon();
    auto const state = this->parts.store.state_of(this->request.id);
    if (!state || *state == request::holder_state::handed_over ||
        *state == request::holder_state::finished)
        return false;
    if (result.end == attempt_end::rejected)
    {
        this->fail(result.status, "rejected-by-engine", result.detail);
        return false;
    }
    if (attempt.is_leaving)
        return true;
    this->excluded.push_back(attempt.endpoint.id);
    if (result.end != attempt_end::stopped || attempt.has_gap)
        ++this->failures;
    if (this->failures >= max_failures)
    {
        this->fail(502, "engine-failed", result.detail);
        return false;
    }
    // The engine may still work on an attempt that was silent or had a gap.
    if (result.status == 200)
        this->parts.background.run([address = attempt.endpoint.address, id = attempt.id]
                                   { cancel_on_engine(address, id); });
    if (this->failures > 1)
        this->back_off(this->failures);
    return true;
}

void completion_runner::back_off(std::uint32_t count)
{
    auto const bound =
        std::min(base_back_off * (1 << std::min<std::uint32_t>(count, 6)), max_back_off);
    auto const delay = from_seconds(to_seconds(bound) * this->parts.router.random_unit());
    auto const left = this->deadline - this->parts.context.time.now();
    if (left > duration(0))
        std::this_thread::sleep_for(std::min(delay, left));
}

void completion_runner::finish(request::request_outcome outcome)
{
    this->parts.store.finish(this->request.id, std::move(outcome));
    this->parts.companions.updated(this->request.id, this->assembly.next_offset(), true);
}

void completion_runner::fail(int status, std::string const& type, std::string const& detail)
{
    problem failed{status, type, detail, execution::no, this->request.id.value(), seconds(1)};
    if (this->assembly.next_offset().value() > 0)
        failed.executed = execution::unknown;
    this->parts.context.events.emit(severity::warning, "request.failed",
                                    {{"request_id", this->request.id.value()},
                                     {"status", std::to_string(status)},
                                     {"detail", detail}});
    this->finish({"", format_problem(failed), static_cast<std::uint32_t>(status)});
}

} // namespace lagoonladder::daemon
