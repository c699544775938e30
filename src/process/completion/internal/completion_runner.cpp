#include <completion_runner.hpp>

#include <algorithm>
#include <utility>

#include <admission_gate.hpp>
#include <lagoonladder/completion/problem.hpp>

namespace lagoonladder::completion
{

namespace
{

// The request fails after this many consecutive failures without a new token, so that the
// caller does not wait until the deadline for the final response.
constexpr std::uint32_t max_failures = 8;

// A request on the new version of a move falls back to the old version after this many
// failures.
constexpr std::uint32_t fallback_failure_threshold = 2;

// Checking at each token whether the endpoint is leaving would copy the shared pointer to the
// view too often.
constexpr duration leaving_check_interval = milliseconds(50);

constexpr duration no_endpoint_retry_delay = milliseconds(50);
constexpr duration base_back_off = milliseconds(25);
constexpr duration max_back_off = seconds(1);

// Longer than it takes to copy the KV cache of a long prompt between engines nearby, and short
// compared to computing it again.
constexpr duration kv_timeout = milliseconds(500);

connection::endpoint_record const* find_endpoint(control_view const& view,
                                                 connection::endpoint_record const& endpoint)
{
    auto const service = view.endpoints.find(endpoint.service);
    if (service == view.endpoints.end())
        return nullptr;
    auto const found =
        std::find_if(service->second.begin(), service->second.end(),
                     [&endpoint](auto const& candidate) { return candidate.id == endpoint.id; });
    return found == service->second.end() ? nullptr : &*found;
}

route_name route_of(std::string const& path)
{
    return route_name(path.find("/chat/") == std::string::npos ? "completions" : "chat");
}

} // namespace

completion_runner::completion_runner(completion_dependencies const& common_dependencies,
                                     request::accepted_request accepted, token_offset resume_at,
                                     std::shared_ptr<open_request> guard)
    : dependencies(common_dependencies)
    , request(std::move(accepted))
    , body(nlohmann::json::parse(this->request.body))
    , assembly(resume_at)
    , version(this->request.version)
    , request_guard(std::move(guard))
{
    auto const view = this->dependencies.context.control.view();
    if (auto const* config = view->shared->configuration.find_service(this->request.service))
        this->service = *config;
    auto const remaining = this->request.deadline - this->dependencies.context.time.wall_now();
    this->deadline = this->dependencies.context.time.now() + remaining;
}

bool completion_runner::is_past_deadline() const
{
    return this->dependencies.context.time.now() >= this->deadline;
}

void completion_runner::start(std::optional<connection::endpoint_record> const& first)
{
    if (!first)
        return this->next_attempt();
    if (!this->is_past_deadline())
        return this->begin_attempt(*first, {});
    this->dependencies.router.attempt_ended(*first, std::nullopt);
    this->next_attempt();
}

void completion_runner::next_attempt()
{
    if (this->is_past_deadline())
        return this->fail(504, "deadline", "the deadline passed before the answer was complete");
    if (auto const endpoint = this->next_endpoint())
        return this->transfer_cache(*endpoint);
    this->run_later(no_endpoint_retry_delay);
}

void completion_runner::run_later(duration delay)
{
    completion::run_later(*this->dependencies.context.loop, delay,
                          [runner = this->shared_from_this()] { runner->next_attempt(); });
}

std::optional<connection::endpoint_record> completion_runner::next_endpoint()
{
    auto const view = this->dependencies.context.control.view();
    auto const split = view->shared->splits.find(this->request.service);
    bool const is_on_candidate = split != view->shared->splits.end() &&
                                 this->version != split->second.stable &&
                                 !split->second.stable.value().empty();
    // A move may have ended since the request was accepted.
    if (is_on_candidate &&
        (this->version != split->second.candidate || this->failures >= fallback_failure_threshold))
        this->version = split->second.stable;
    endpoint_query query{this->request.service, this->version, this->request.body,
                         this->excluded_endpoints};
    auto chosen = this->dependencies.router.choose(*view, query);
    if (!chosen && !this->excluded_endpoints.empty())
    {
        this->excluded_endpoints.clear();
        query.excluded_endpoints.clear();
        chosen = this->dependencies.router.choose(*view, query);
    }
    if (!chosen && is_on_candidate && this->version != split->second.stable)
    {
        this->version = query.version = split->second.stable;
        chosen = this->dependencies.router.choose(*view, query);
    }
    return chosen;
}

void completion_runner::transfer_cache(connection::endpoint_record const& endpoint)
{
    auto const cache = std::exchange(this->exported_cache, kv_export());
    if (cache.handle.empty())
        return this->begin_attempt(endpoint, {});
    import_kv(this->dependencies.calls, endpoint.address, cache, this->cache_source, kv_timeout,
              [runner = this->shared_from_this(), endpoint, cache](bool is_imported)
              {
                  runner->dependencies.context.metrics.add(
                      "kv_moves_total", {{"result", is_imported ? "imported" : "not_imported"}});
                  runner->begin_attempt(endpoint, is_imported ? cache : kv_export());
              });
}

std::string completion_runner::attempt_body(kv_export const& imported_cache) const
{
    auto extended = this->body;
    extended["stream"] = true;
    // Engines receive the id of the attempt instead of the request, so that cancelling a
    // superseded attempt cannot end its successor on the same engine.
    extended["request_id"] = this->current.id;
    extended["priority"] =
        this->request.priority == request::request_priority::draft ? "draft" : "interactive";
    if (this->assembly.next_offset().value() > 0)
        extended["resume_offset"] = this->assembly.next_offset();
    if (!imported_cache.handle.empty())
        extended["kv_handle"] = imported_cache.handle;
    return extended.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void completion_runner::report_resume(bool is_cache_imported)
{
    auto const offset = this->assembly.next_offset().value();
    if (!is_cache_imported)
        this->dependencies.context.metrics.add(
            "recomputed_tokens_total", {{"service", this->request.service.value()}}, offset);
    this->dependencies.context.metrics.add("resumed_requests_total",
                                           {{"service", this->request.service.value()}});
    this->dependencies.context.events.emit(
        severity::info, "request.resumed",
        {{"request_id", this->request.id.value()},
         {"endpoint", this->current.endpoint.id.value()},
         {"offset", std::to_string(offset)},
         {"method", is_cache_imported ? "kv_import" : "recompute"}});
}

void completion_runner::begin_attempt(connection::endpoint_record const& endpoint,
                                      kv_export const& imported_cache)
{
    bool const is_cache_imported = !imported_cache.handle.empty();
    this->current = attempt_state();
    auto& attempt = this->current;
    attempt.endpoint = endpoint;
    attempt.id =
        attempt_id(this->request.id.value() + "/" + this->dependencies.context.config.vm.value() +
                   "/" + std::to_string(++this->attempt_count));
    auto const resume_at = this->assembly.begin_attempt(
        attempt.id,
        is_cache_imported ? request::resume_method::kv_import : request::resume_method::recompute);
    if (this->attempt_count > 1 || resume_at.value() > 0)
        this->report_resume(is_cache_imported);
    attempt.started = attempt.last_token = attempt.last_check =
        this->dependencies.context.time.now();
    attempt_request const parameters{
        endpoint.address, this->request.path, this->attempt_body(imported_cache),
        std::clamp<duration>(this->deadline - attempt.started, milliseconds(1),
                             this->service.progress_timeout)};
    auto const new_attempt = std::make_shared<engine_attempt>(this->shared_from_this());
    attempt.attempt = new_attempt;
    new_attempt->start(this->dependencies.calls, parameters);
}

void completion_runner::stop_attempt()
{
    if (auto const open_attempt = this->current.attempt.lock())
        open_attempt->stop();
}

void completion_runner::on_token(engine_event const& event, std::string_view data)
{
    auto& attempt = this->current;
    auto const expected = this->assembly.next_offset();
    token_offset const offset(event.offset.value_or(expected.value()));
    auto const decision = this->assembly.accept(attempt.id, offset);
    if (decision == request::token_decision::gap)
    {
        attempt.has_gap = true;
        return this->stop_attempt();
    }
    if (decision != request::token_decision::forward)
        return;
    auto const now = this->dependencies.context.time.now();
    auto& sample = attempt.sample;
    if (attempt.tokens++ == 0)
        sample.first_token.add(now - attempt.started);
    else
        sample.between_tokens.add(now - attempt.last_token);
    attempt.last_token = now;
    this->failures = 0;
    if (!this->dependencies.store.append(this->request.id, offset, {std::string(data)}))
        return this->stop_attempt();
    this->dependencies.companions.updated(this->request.id, this->assembly.next_offset(), false);
}

void completion_runner::on_progress()
{
    auto& attempt = this->current;
    auto const now = this->dependencies.context.time.now();
    if (attempt.is_leaving || now - attempt.last_check < leaving_check_interval)
        return;
    attempt.last_check = now;
    if (now >= this->deadline)
        return this->stop_attempt();
    auto const view = this->dependencies.context.control.view();
    auto const* record = find_endpoint(*view, attempt.endpoint);
    attempt.is_leaving = record && record->state == connection::endpoint_state::leaving;
    if (attempt.is_leaving)
        this->leave_endpoint();
}

void completion_runner::leave_endpoint()
{
    auto const& attempt = this->current;
    if (attempt.tokens == 0)
        return this->stop_attempt();
    // The connection stays open, because engines discard the KV cache of a request when its
    // connection is closed.
    if (auto const open_attempt = attempt.attempt.lock())
        open_attempt->pause();
    export_kv(this->dependencies.calls, attempt.endpoint.address, attempt.id, kv_timeout,
              [runner = this->shared_from_this()](kv_export const& cache)
              {
                  runner->exported_cache = cache;
                  runner->cache_source = runner->current.endpoint.address;
                  runner->stop_attempt();
              });
}

void completion_runner::on_attempt_end(attempt_result const& result)
{
    this->report_attempt_end(result);
    if (auto const delay = this->handle_attempt_result(result))
        this->run_later(*delay);
}

void completion_runner::report_attempt_end(attempt_result const& result)
{
    auto& attempt = this->current;
    auto const elapsed = this->dependencies.context.time.now() - attempt.started;
    bool const is_failure = result.end == attempt_end::failed || attempt.has_gap;
    request::route_outcome outcome;
    outcome.ok = !is_failure && result.end != attempt_end::busy;
    outcome.elapsed = elapsed;
    outcome.tokens = attempt.tokens;
    if (attempt.tokens > 0)
        outcome.first_byte = attempt.last_token - attempt.started;
    bool const is_inconclusive = result.end == attempt_end::stopped && !attempt.has_gap;
    this->dependencies.router.attempt_ended(
        attempt.endpoint, is_inconclusive ? std::nullopt : std::make_optional(outcome));
    this->dependencies.gate.admit_waiting();

    auto& sample = attempt.sample;
    sample.service = this->request.service;
    sample.version = attempt.endpoint.version;
    sample.route = route_of(this->request.path);
    sample.requests = 1;
    sample.failures = is_failure ? 1 : 0;
    sample.whole_call.add(elapsed);
    this->dependencies.context.control.record_traffic(sample);
    observability::metric_labels const labels{{"service", sample.service.value()},
                                              {"version", sample.version.value()}};
    this->dependencies.context.metrics.add("tokens_total", labels, attempt.tokens);
    if (result.end == attempt_end::finished)
        return;
    this->dependencies.context.metrics.add("failed_attempts_total", labels);
    this->dependencies.context.events.emit(
        severity::warning, "attempt.failed",
        {{"request_id", this->request.id.value()},
         {"endpoint", attempt.endpoint.id.value()},
         {"version", attempt.endpoint.version.value()},
         {"offset", std::to_string(this->assembly.next_offset().value())},
         {"reason", attempt.is_leaving ? "the endpoint is leaving"
                    : attempt.has_gap  ? "tokens are missing"
                                       : result.detail}});
}

std::optional<duration> completion_runner::handle_attempt_result(attempt_result const& result)
{
    auto const& attempt = this->current;
    if (result.end == attempt_end::finished)
    {
        this->assembly.finish(attempt.id, this->assembly.next_offset());
        this->finish({result.finish_reason, "", 0});
        return std::nullopt;
    }
    this->assembly.abandon();
    auto const state = this->dependencies.store.state_of(this->request.id);
    if (!state || *state == request::holder_state::handed_over ||
        *state == request::holder_state::finished)
        return std::nullopt;
    if (result.end == attempt_end::rejected)
    {
        this->fail(result.status, "rejected-by-engine", result.detail);
        return std::nullopt;
    }
    if (attempt.is_leaving)
        return duration(0);
    this->excluded_endpoints.push_back(attempt.endpoint.id);
    if (result.end != attempt_end::stopped || attempt.has_gap)
        ++this->failures;
    if (this->failures >= max_failures)
    {
        this->fail(502, "engine-failed", result.detail);
        return std::nullopt;
    }
    // The engine may still be working on an attempt that was silent or had a gap.
    if (result.status == 200)
        cancel_on_engine(this->dependencies.calls, attempt.endpoint.address, attempt.id);
    return this->failures > 1 ? this->back_off_delay() : duration(0);
}

duration completion_runner::back_off_delay()
{
    auto const max_delay =
        std::min(base_back_off * (1 << std::min<std::uint32_t>(this->failures, 6)), max_back_off);
    auto const delay =
        from_seconds(to_seconds(max_delay) * this->dependencies.router.random_unit());
    auto const remaining = this->deadline - this->dependencies.context.time.now();
    return std::clamp(delay, duration(0), std::max(remaining, duration(0)));
}

void completion_runner::finish(request::request_outcome outcome)
{
    this->dependencies.store.finish(this->request.id, std::move(outcome));
    this->dependencies.companions.updated(this->request.id, this->assembly.next_offset(), true);
}

void completion_runner::fail(unsigned status, std::string const& type, std::string const& detail)
{
    problem response{static_cast<int>(status), type,      detail, execution::no,
                     this->request.id.value(), seconds(1)};
    if (this->assembly.next_offset().value() > 0)
        response.executed = execution::unknown;
    this->dependencies.context.events.emit(severity::warning, "request.failed",
                                           {{"request_id", this->request.id.value()},
                                            {"status", std::to_string(status)},
                                            {"detail", detail}});
    this->finish({"", format_problem(response), status});
}

} // namespace lagoonladder::completion
