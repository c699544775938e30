#include <lagoonladder/proxy/call_proxy.hpp>

#include "configuration_wait_queue.hpp"
#include "evacuation_watch.hpp"
#include "home_regions.hpp"
#include "placement_explanation.hpp"
#include "proxied_call.hpp"

namespace lagoonladder::proxy
{

namespace
{

/// Interval at which the demand of the accounts is published.
constexpr duration demand_interval = milliseconds(250);
/// Time left of callers that state none.
constexpr duration default_time_left = seconds(3);
/// Short, since another entry can serve a call that this one refuses because it is stopping or at
/// its limits.
constexpr duration refusal_retry_after = milliseconds(250);

std::vector<event_field> describe_refusal(incoming_call const& call,
                                          call_admission const& admission, unsigned status)
{
    auto const number = admission.services ? admission.services->map().number : 0;
    std::vector<event_field> fields{
        {"id", call.id.value()},
        {"host", call.host},
        {"target", call.target},
        {"reason", to_string(admission.reason)},
        {"detail", call.problem},
        {"status", std::to_string(status)},
        {"configuration", std::to_string(number)},
        {"configuration_valid_ms",
         std::to_string(admission.configuration_validity / milliseconds(1))}};
    fields.insert(fields.end(), admission.capacity_detail.begin(), admission.capacity_detail.end());
    if (admission.reason != refusal::over_quota)
        return fields;
    auto const& demand = admission.quota_demand;
    fields.push_back({"account", admission.account->name.value()});
    fields.push_back({"tokens", std::to_string(admission.quota_tokens)});
    fields.push_back({"limit", std::to_string(admission.account->quota->tokens_per_second)});
    fields.push_back({"demand_here", std::to_string(demand.own)});
    fields.push_back({"demand_elsewhere", std::to_string(demand.others)});
    fields.push_back({"entries", std::to_string(demand.entries)});
    fields.push_back({"lending", admission.lending});
    fields.push_back({"retry_after", format_duration(admission.retry_after)});
    return fields;
}

char const* describe_lending(request::lending_outcome const& outcome, double missing)
{
    if (outcome.lent >= missing)
        return "enough";
    return outcome.refused ? "too_little" : "no_answer";
}

/// Responds to a call that is not admitted.
void refuse(proxy_context& context, http::server_exchange& exchange, incoming_call const& call,
            call_admission const& admission)
{
    auto const status = status_of(admission.reason);
    http::response_head head{status, {}, {}};
    bool const may_retry = status == 429 || status == 503;
    if (may_retry && admission.retry_after > duration(0))
        head.headers.set("Retry-After", std::to_string(to_seconds(admission.retry_after)));
    context.dependencies.events.emit(severity::info, "call.refused",
                                     describe_refusal(call, admission, status));
    context.dependencies.metrics.add("refused_calls_total",
                                     {{"reason", to_string(admission.reason)}});
    exchange.respond(std::move(head), describe(admission.reason));
}

} // namespace

proxy_context::proxy_context(call_proxy::dependencies const& injected,
                             proxy_options const& settings)
    : dependencies(injected)
    , options(settings)
    , random(injected.seed)
    , chooser(settings.pace, injected.process_start)
    , overload(injected, settings.has_overload_admission)
    , crashes(injected)
    , quotas(injected.process_start)
    , budgets({settings.retry_share, settings.retry_burst, settings.retry_window},
              injected.process_start)
{
}

request::retry_budget& proxy_context::budget(service_name const& service)
{
    auto const view = this->dependencies.control.view();
    return this->budgets.budget(this->dependencies.time.now(), service,
                                entries_sharing_limits(*view));
}

call_proxy::call_proxy(dependencies const& injected, proxy_options const& options)
    : context(std::make_shared<proxy_context>(injected, options))
    , wait_queue(std::make_unique<configuration_wait_queue>(
          injected.context, injected.time,
          [this](std::shared_ptr<http::server_exchange> const& exchange)
          { this->handle(exchange); }))
{
}

call_proxy::~call_proxy() = default;

void call_proxy::handle(std::shared_ptr<http::server_exchange> const& exchange)
{
    auto const now = this->context->dependencies.time.now();
    auto const view = this->context->dependencies.control.view();
    auto call = this->context->dependencies.codec.decode(exchange->head());
    auto admission = admit(now, exchange->arrived(), *view, call, this->context->crashes,
                           this->context->quotas, this->context->options.quota);
    if (admission.route != nullptr)
        call.regions = find_regions(*admission.route, admission.account);
    this->publish_demand(now);
    if (admission.reason == refusal::no_configuration &&
        this->wait_for_configuration(exchange, call, *view))
        return;
    bool const is_over_quota = admission.reason == refusal::over_quota;
    // The load does not matter to a call that its quota refuses for good.
    if (is_over_quota && !this->may_borrow(now, *view, admission))
        return this->start(exchange, std::move(call), std::move(admission));
    this->check_capacity(now, *view, call, admission);
    if (admission.reason == refusal::over_quota)
        return this->borrow(exchange, std::move(call), admission);
    this->start(exchange, std::move(call), std::move(admission));
}

bool call_proxy::may_borrow(time_point now, traffic_view const& view,
                            call_admission const& admission) const
{
    return view.entries > 1 &&
           this->context->borrowing.may_begin_round(now, admission.account->name,
                                                    admission.quota_demand.quota_holder_count > 0,
                                                    admission.quota_tokens);
}

void call_proxy::check_capacity(time_point now, traffic_view const& view, incoming_call const& call,
                                call_admission& admission)
{
    bool const has_tokens = admission.reason == refusal::none;
    // Before tokens are borrowed, since tokens of a call that is not sent would be missing for
    // others.
    if (!has_tokens && admission.reason != refusal::over_quota)
        return;
    auto& shared = *this->context;
    shared.overload.check(now, view, call, shared.chooser, shared.random, admission);
    if (has_tokens && admission.reason != refusal::none && admission.quota_tokens > 0)
        shared.quotas.deposit(admission.account->name, admission.quota_tokens);
}

bool call_proxy::wait_for_configuration(std::shared_ptr<http::server_exchange> const& exchange,
                                        incoming_call const& call,
                                        traffic_view const& refusing_view)
{
    auto const& injected = this->context->dependencies;
    return this->wait_queue->wait(
        exchange, call.time_left.value_or(default_time_left),
        [&injected, previous_services = refusing_view.is_ready ? refusing_view.services : nullptr]
        {
            auto const view = injected.control.view();
            bool const is_changed = view->services != previous_services;
            return view->is_ready && view->services &&
                   (is_changed || !is_configuration_outdated(injected.time.now(), *view));
        });
}

void call_proxy::start(std::shared_ptr<http::server_exchange> const& exchange, incoming_call call,
                       call_admission admission)
{
    if (admission.reason == refusal::none && this->context->is_stopping)
    {
        admission.reason = refusal::overloaded;
        admission.retry_after = refusal_retry_after;
        call.problem = "this entry is stopping";
    }
    if (admission.reason == refusal::over_quota)
        admission.retry_after = this->context->overload.spread_retry(
            this->context->dependencies.time.now(), admission, call.regions, admission.retry_after,
            this->context->random);
    if (admission.reason != refusal::none)
    {
        this->context->overload.withdraw(this->context->dependencies.time.now(), admission);
        return refuse(*this->context, *exchange, call, admission);
    }
    std::make_shared<proxied_call>(this->context, exchange, std::move(call), std::move(admission))
        ->start();
}

std::string call_proxy::rejection_body(http::response_head& head, std::string const& reason)
{
    if (head.status == 503)
        head.headers.set("Retry-After", std::to_string(to_seconds(refusal_retry_after)));
    return reason;
}

void call_proxy::end_calls()
{
    this->context->is_stopping = true;
    this->wait_queue->release();
    for (auto const& [key, weak_call] : std::map(this->context->running_calls))
    {
        if (auto const call = weak_call.lock())
            call->end_at_stop();
    }
}

void call_proxy::borrow(std::shared_ptr<http::server_exchange> const& exchange, incoming_call call,
                        call_admission const& refused)
{
    auto const is_disconnected = std::make_shared<bool>(false);
    exchange->on_closed([is_disconnected] { *is_disconnected = true; });
    ++this->context->open_calls;
    auto const& account = refused.account->name;
    this->context->borrowing.begin_round(this->context->dependencies.time.now(), account,
                                         refused.quota_demand.quota_holder_count > 0,
                                         refused.quota_tokens);
    this->context->dependencies.control.borrow_tokens(
        account, refused.shortage, refused.deadline - this->context->dependencies.time.now(),
        [this, exchange, call = std::move(call), admission = refused,
         is_disconnected](request::lending_outcome const& outcome) mutable
        {
            --this->context->open_calls;
            exchange->on_closed({});
            auto const now = this->context->dependencies.time.now();
            auto& quotas = this->context->quotas;
            admission.lending = describe_lending(outcome, admission.shortage.missing);
            this->context->borrowing.end_round(now, admission.account->name, outcome,
                                               admission.quota_tokens);
            this->context->dependencies.metrics.add("quota_rounds_total",
                                                    {{"outcome", admission.lending}});
            if (*is_disconnected)
            {
                this->context->overload.withdraw(now, admission);
                return quotas.deposit(admission.account->name, outcome.lent);
            }
            auto const view = this->context->dependencies.control.view();
            admit_again(now, *view, quotas, this->context->options.quota, outcome.lent, admission);
            this->start(exchange, std::move(call), std::move(admission));
        });
}

request::lender_reply call_proxy::lend_tokens(account_id const& account, double wanted)
{
    auto const view = this->context->dependencies.control.view();
    auto const* found_account = view->services ? view->services->find_account(account) : nullptr;
    if (found_account == nullptr || !found_account->quota)
        return {};
    auto const inputs = make_quota_inputs(*view, *found_account, this->context->options.quota);
    auto const& peers = inputs.peers;
    if (wanted < 0)
    {
        this->context->quotas.take_back(this->context->dependencies.time.now(), account,
                                        inputs.limit, peers, -wanted);
        return {0, peers.is_quota_holder};
    }
    auto const lent = this->context->quotas.lend(this->context->dependencies.time.now(), account,
                                                 inputs.limit, peers, wanted);
    return {lent, peers.quota_holder_count == 0 || peers.is_quota_holder};
}

void call_proxy::deposit_tokens(account_id const& account, double tokens)
{
    this->context->quotas.deposit(account, tokens);
}

void call_proxy::on_prompt_notice(prompt_notice const& notice)
{
    this->context->chooser.record_received_prompt(this->context->dependencies.time.now(),
                                                  notice.engine, notice.incarnation, notice.prompt);
}

void call_proxy::on_crash_evidence(std::vector<request::part_evidence> const& evidence)
{
    this->context->crashes.merge(this->context->dependencies.time.now(), evidence);
}

void call_proxy::tick()
{
    auto const now = this->context->dependencies.time.now();
    this->publish_demand(now);
    this->context->crashes.tick(now);
    leave_evacuated_endpoints(*this->context);
    this->observe_endpoints(now);
}

void call_proxy::observe_endpoints(time_point now)
{
    auto& pacing = this->context->chooser.pacing();
    pacing.tick(now, *this->context->dependencies.control.view());
    auto& metrics = this->context->dependencies.metrics;
    auto const cold_count = pacing.pace().cold_endpoints(now);
    if (std::exchange(this->context->has_cold_endpoints, cold_count > 0) != (cold_count > 0))
        this->context->dependencies.events.emit(
            severity::info, cold_count > 0 ? "endpoints.cold" : "endpoints.warm",
            {{"count", std::to_string(cold_count)}});
    metrics.set("cold_endpoints", {}, static_cast<double>(cold_count));
    metrics.set("starting_endpoints", {}, static_cast<double>(pacing.pace().starting_endpoints()));
}

void call_proxy::publish_demand(time_point now)
{
    if (now < this->context->demand_published_at + demand_interval)
        return;
    this->context->demand_published_at = now;
    this->context->dependencies.control.set_demand(this->context->quotas.demand(now),
                                                   this->context->quotas.granted(now),
                                                   this->find_engine_work(now));
}

engine_work_by_service call_proxy::find_engine_work(time_point now) const
{
    auto const view = this->context->dependencies.control.view();
    if (!this->context->options.states_engine_work || !view->services)
        return {};
    auto work = this->context->engine_work.work(now);
    std::erase_if(work,
                  [&](auto const& item)
                  {
                      auto const* service = view->services->find_service(item.first);
                      return service == nullptr || !service->is_engine;
                  });
    return work;
}

nlohmann::json call_proxy::explain(placement_query const& query) const
{
    auto const view = this->context->dependencies.control.view();
    return placement_explanation(*this->context, *view).explain(query);
}

std::size_t call_proxy::open_calls() const
{
    return this->context->open_calls + this->wait_queue->size();
}

} // namespace lagoonladder::proxy
