#include "pass_through_plane.hpp"

#include <set>

#include "home_entries.hpp"

namespace lagoonladder::daemon
{

namespace
{

/// Time limit of a proposal to the replicated log. When it passes without a result, the operator
/// can repeat the call at another daemon.
constexpr duration command_timeout = milliseconds(900);
constexpr duration periodic_work_interval = milliseconds(100);
/// Connections to each of the servers for operators, endpoints and the platform.
constexpr std::size_t max_control_connections = 500;

http::server_options make_server_options(network_address const& address, std::size_t connections,
                                         char const* name, config::settings const& config,
                                         std::shared_ptr<http::request_memory> memory)
{
    http::server_options options{address, connections, name};
    options.memory = std::move(memory);
    options.socket_buffer_bytes = static_cast<std::uint32_t>(config.socket_buffer);
    return options;
}

proxy::proxy_options make_proxy_options(config::pass_through_settings const& config)
{
    proxy::proxy_options options;
    options.retry_share = config.retry_share;
    options.retry_burst = config.retry_burst;
    options.retry_window = config.retry_window;
    options.pace.is_learned = config.start_pace == config::start_pace::learned;
    options.pace.cold = {config.cold_overshoot, config.cold_slack};
    options.quota = {config.quota_window, config.quota_overshoot, config.quota_tolerance};
    options.has_overload_admission = config.has_overload_admission;
    options.states_engine_work = config.engine_capacity == config::engine_capacity::measured;
    return options;
}

http::client_options make_duty_options()
{
    http::client_options options;
    // The platform responds within milliseconds. A lost call must not delay the next holder of
    // the duty.
    options.response_timeout = seconds(1);
    return options;
}

/// Limits of the servers for operators, endpoints and the platform. Configurations may be large.
http::connection_limits control_limits()
{
    http::connection_limits limits;
    limits.max_body_bytes = 16 * 1024 * 1024;
    limits.header_timeout = seconds(10);
    limits.idle_timeout = seconds(60);
    return limits;
}

} // namespace

void metrics_handler::handle(std::shared_ptr<http::server_exchange> const& exchange)
{
    if (exchange->head().target != "/metrics")
        return exchange->respond({404, {}, {}}, "unknown call");
    http::response_head head{200, {}, {}};
    head.headers.set("Content-Type", "text/plain; version=0.0.4");
    exchange->respond(std::move(head), this->values.expose());
}

pass_through_plane::pass_through_plane(config::settings const& config, control::control_loop& loop,
                                       control::peer_channels& channels, event_sink& sink,
                                       observability::metrics& metrics, clock const& time_source,
                                       std::uint64_t seed,
                                       std::shared_ptr<http::request_memory> memory)
    : options(config)
    , control(loop)
    , events(sink)
    , time(time_source)
    , context(std::make_shared<asio::io_context>(1))
    , work_guard(asio::make_work_guard(*this->context))
    , client(*this->context, {}, time_source)
    , duty_http_client(*this->context, make_duty_options(), time_source)
    , proxy({*this->context, this->client, this->translation, *this, sink, metrics, time_source,
             seed, time_source.now()},
            make_proxy_options(config.pass_through))
    , notices(*this->context, config.cluster_token, *this, time_source, sink, metrics)
    , borrower(this->context, channels, time_source, seed,
               [this](account_id const& account, double tokens)
               { this->proxy.deposit_tokens(account, tokens); })
    , random(seed)
    , control_call_handler(*this, sink)
    , directory_call_handler(*this, config.pass_through.directory_max_age)
    , readiness_call_handler(*this)
    , metrics_call_handler(metrics)
    , duties(this->duty_http_client, config.pass_through.platform_api)
    , caller_server(
          *this->context,
          make_server_options(config.pass_through.callers, config.pass_through.max_connections,
                              "callers", config, memory),
          this->proxy, [this] { return this->limits(); }, sink, time_source)
    , control_server(*this->context,
                     make_server_options(config.pass_through.control, max_control_connections,
                                         "control", config, memory),
                     this->control_call_handler, control_limits, sink, time_source)
    , directory_server(*this->context,
                       make_server_options(config.pass_through.directory, max_control_connections,
                                           "directory", config, memory),
                       this->directory_call_handler, control_limits, sink, time_source)
    , readiness_server(*this->context,
                       make_server_options(config.pass_through.readiness, max_control_connections,
                                           "readiness", config, memory),
                       this->readiness_call_handler, control_limits, sink, time_source)
    , metrics_server(*this->context,
                     make_server_options(config.pass_through.metrics, max_control_connections,
                                         "metrics", config, memory),
                     this->metrics_call_handler, control_limits, sink, time_source)
    , periodic_timer(*this->context)
    , lag(sink, metrics, time_source, "traffic")
    , pauses(time_source.now())
{
}

pass_through_plane::~pass_through_plane()
{
    this->stop();
}

void pass_through_plane::start()
{
    this->caller_server.start();
    this->control_server.start();
    this->directory_server.start();
    this->readiness_server.start();
    if (!this->options.pass_through.metrics.value().empty())
        this->metrics_server.start();
    this->notices.start(this->options.control);
    this->run_periodic_work();
    if (!this->options.pass_through.platform_api.value().empty())
        this->control.set_platform_duties(this);
    this->thread = std::thread([this] { this->run(); });
}

void pass_through_plane::run()
{
    try
    {
        this->context->run();
    }
    catch (std::exception const& problem)
    {
        this->events.emit(severity::error, "traffic.failed", {{"reason", problem.what()}});
        invariant_violated(std::string("traffic thread: ") + problem.what());
    }
}

void pass_through_plane::run_periodic_work()
{
    this->pauses.record_call(this->time.now());
    this->record_orders();
    this->open_call_count = this->proxy.open_calls();
    this->proxy.tick();
    this->prepare_borrowing();
    this->periodic_timer.expires_after(periodic_work_interval);
    this->periodic_timer.async_wait(
        [this](asio::error_code const& problem)
        {
            if (problem)
                return;
            auto const late = std::chrono::steady_clock::now() - this->periodic_timer.expiry();
            this->lag.record(std::chrono::duration_cast<duration>(late),
                             {{"open_calls", std::to_string(this->open_call_count)}});
            this->run_periodic_work();
        });
}

void pass_through_plane::record_orders()
{
    if (auto const shared = this->control.view()->shared)
        this->orders.update(this->time.now(), shared->moves);
}

void pass_through_plane::prepare_borrowing()
{
    this->borrower.open_connections();
    auto const current_view = this->view();
    if (!current_view->services || !current_view->is_ready || current_view == this->prepared_view)
        return;
    auto const previous_view = std::exchange(this->prepared_view, current_view);
    if (previous_view && previous_view->services == current_view->services &&
        std::equal(previous_view->serving.begin(), previous_view->serving.end(),
                   current_view->serving.begin(), current_view->serving.end(),
                   [](auto const& previous_entry, auto const& current_entry)
                   { return previous_entry.vm == current_entry.vm; }))
        return;
    std::set<network_address> lenders;
    for (auto const& account : current_view->services->map().accounts)
    {
        if (!account.quota)
            continue;
        for (auto const& quota_holder : proxy::quota_holders(*current_view, account.name))
        {
            if (quota_holder.vm != this->options.vm)
                lenders.insert(quota_holder.control);
        }
    }
    this->borrower.add_quota_holders({lenders.begin(), lenders.end()});
}

http::connection_limits pass_through_plane::limits() const
{
    http::connection_limits limits;
    auto const current = this->view();
    if (!current->services)
        return limits;
    auto const& configured = current->services->map().limits;
    limits.max_header_bytes = configured.max_header_bytes;
    limits.max_body_bytes = configured.max_body_bytes;
    limits.header_timeout = configured.header_timeout;
    limits.idle_timeout = configured.idle_timeout;
    return limits;
}

std::shared_ptr<proxy::traffic_view const> pass_through_plane::view() const
{
    return this->control.traffic();
}

void pass_through_plane::record(version::traffic_sample const& sample)
{
    this->control.record_traffic(sample);
}

void pass_through_plane::count_usage(account_id const& account)
{
    this->control.count_usage(account);
}

void pass_through_plane::set_demand(std::map<account_id, double> demand, double granted,
                                    engine_work_by_service work)
{
    this->control.set_demand(std::move(demand), granted, std::move(work));
}

void pass_through_plane::borrow_tokens(account_id const& account,
                                       request::token_shortage const& shortage, duration time_left,
                                       std::function<void(request::lending_outcome const&)> done)
{
    std::vector<network_address> quota_holders;
    for (auto const& quota_holder : proxy::quota_holders(*this->view(), account))
    {
        if (quota_holder.vm != this->options.vm)
            quota_holders.push_back(quota_holder.control);
    }
    if (!quota_holders.empty())
        return this->borrower.request_from_quota_holders(
            account, std::move(quota_holders), shortage.missing, time_left, std::move(done));
    this->borrower.request_from_all(account, this->other_entries(), shortage, std::move(done));
}

void pass_through_plane::broadcast_prompt(proxy::prompt_notice const& notice)
{
    this->notices.send(this->draw_entries(request::max_notice_receivers), notice);
}

void pass_through_plane::send_crash_evidence(std::vector<request::part_evidence> const& evidence,
                                             std::optional<std::size_t> receivers)
{
    this->notices.send(receivers ? this->draw_entries(*receivers) : this->other_entries(),
                       evidence);
}

void pass_through_plane::on_prompt_notice(proxy::prompt_notice const& notice)
{
    this->proxy.on_prompt_notice(notice);
}

void pass_through_plane::on_crash_evidence(std::vector<request::part_evidence> const& evidence)
{
    this->proxy.on_crash_evidence(evidence);
}

std::vector<network_address> pass_through_plane::draw_entries(std::size_t count)
{
    auto const cluster_view = this->control.view();
    std::vector<network_address const*> candidates;
    for (auto const& entry : cluster_view->entries)
    {
        if (entry.vm != this->options.vm && !entry.pass_through.value().empty())
            candidates.push_back(&entry.control);
    }
    std::vector<network_address> receivers;
    while (!candidates.empty() && receivers.size() < count)
    {
        std::swap(candidates[this->random.below(candidates.size())], candidates.back());
        receivers.push_back(*candidates.back());
        candidates.pop_back();
    }
    return receivers;
}

std::vector<network_address> pass_through_plane::other_entries() const
{
    std::vector<network_address> others;
    for (auto const& entry : this->control.view()->entries)
    {
        if (entry.vm != this->options.vm && !entry.pass_through.value().empty())
            others.push_back(entry.control);
    }
    return others;
}

void pass_through_plane::lend_tokens(account_id const& account, double wanted,
                                     std::shared_ptr<pending_loan> loan)
{
    asio::post(*this->context,
               [this, account, wanted, loan = std::move(loan)]
               {
                   if (loan->is_abandoned())
                       return;
                   auto const reply = this->proxy.lend_tokens(account, wanted);
                   if (!loan->complete(reply) && reply.lent > 0)
                       this->proxy.lend_tokens(account, -reply.lent);
               });
}

template <class Result>
void pass_through_plane::propose(version::command_body body, handler<Result> done)
{
    this->control.propose(std::move(body), command_timeout,
                          [this, done = std::move(done)](control::proposal_outcome const& outcome)
                          {
                              std::optional<Result> result;
                              if (outcome.status == control::proposal_status::committed)
                                  result = std::get<Result>(outcome.result);
                              asio::post(*this->context, [done, result] { done(result); });
                          });
}

void pass_through_plane::apply(version::service_configuration wanted,
                               handler<version::apply_map_result> done)
{
    this->control.apply_services(
        std::move(wanted),
        [this, done = std::move(done)](std::optional<version::apply_map_result> const& result)
        { asio::post(*this->context, [done, result] { done(result); }); });
}

void pass_through_plane::read_configuration(
    std::function<void(std::shared_ptr<std::string const> const&)> done)
{
    this->control.read_services(
        [this, done = std::move(done)](std::shared_ptr<std::string const> const& document)
        { asio::post(*this->context, [done, document] { done(document); }); });
}

void pass_through_plane::read_moves(handler<std::vector<version::move_record>> done)
{
    this->propose<version::pass_through_state_result>(
        version::read_pass_through_state{},
        [done = std::move(done)](std::optional<version::pass_through_state_result> const& result)
        { done(result ? std::optional(result->moves) : std::nullopt); });
}

bool pass_through_plane::has_just_resumed() const
{
    return this->pauses.has_just_resumed(this->time.now());
}

void pass_through_plane::start_move(version::start_service_move order,
                                    handler<version::start_move_result> done)
{
    // Read here and not on the control thread, which may learn of a newer order before it gets
    // this one.
    auto const current = this->control.view();
    order.base = current->shared ? version::latest_order(current->shared->moves, order.service) : 0;
    order.base_age = this->orders.age(this->time.now(), order.service, *order.base);
    order.resend_time = this->options.pass_through.order_resend_time;
    // Endpoints that were started for this order may serve already.
    order.in_service = control::find_version_in_service(*current, order.service,
                                                        this->time.wall_now() - *order.resend_time);
    this->propose<version::start_move_result>(std::move(order), std::move(done));
}

void pass_through_plane::set_evacuation(version::set_evacuation order,
                                        handler<version::evacuation_result> done)
{
    this->propose<version::evacuation_result>(std::move(order), std::move(done));
}

bool pass_through_plane::is_known(data_centre_id const& data_centre) const
{
    return control::is_known_data_centre(this->options, *this->control.view(), data_centre);
}

void pass_through_plane::announce(connection::endpoint_record row, acknowledgement_handler done)
{
    if (row.state == connection::endpoint_state::leaving)
        return this->control.announce(std::move(row), this->on_traffic_thread(std::move(done)));
    // A serving endpoint repeats its announcement, so the response need not wait.
    this->control.announce(std::move(row), [](bool) {});
    done(true);
}

void pass_through_plane::remove(endpoint_id const& id, acknowledgement_handler done)
{
    this->control.remove_endpoint(id, this->on_traffic_thread(std::move(done)));
}

std::vector<network_address>
pass_through_plane::entry_addresses(proxy::directory_query const& query,
                                    std::size_t max_count) const
{
    auto const current = this->control.view();
    auto serving_entries = current->entries;
    std::erase_if(serving_entries,
                  [](connection::entry_record const& entry) {
                      return entry.pass_through.value().empty() ||
                             entry.state != connection::entry_state::serving;
                  });
    if (current->shared && current->shared->services)
        keep_home_entries(version::home_regions(*current->shared->services, query.host),
                          query.region, this->options.data_centres, serving_entries);
    std::vector<network_address> addresses;
    for (auto const& entry :
         connection::entries_for_callers(serving_entries, query.zone, max_count))
        addresses.push_back(entry.pass_through);
    return addresses;
}

bool pass_through_plane::accepts_calls() const
{
    auto const current = this->view();
    return current->is_ready && current->services && !current->is_leaving;
}

std::function<void(bool)> pass_through_plane::on_control_thread(std::function<void(bool)> done)
{
    return [this, done = std::move(done)](bool accepted)
    { this->control.post([done, accepted] { done(accepted); }); };
}

std::function<void(bool)> pass_through_plane::on_traffic_thread(std::function<void(bool)> done)
{
    return [this, done = std::move(done)](bool accepted)
    { asio::post(*this->context, [done, accepted] { done(accepted); }); };
}

void pass_through_plane::report_usage(holder const& self, std::uint64_t window,
                                      std::map<account_id, std::uint64_t> const& counts,
                                      std::function<void(bool)> done)
{
    asio::post(*this->context,
               [this, self, window, counts, done = this->on_control_thread(std::move(done))]
               { this->duties.report_usage(self, window, counts, done); });
}

void pass_through_plane::order_capacity(holder const& self, capacity_order const& order,
                                        std::function<void(bool)> done)
{
    asio::post(*this->context, [this, self, order, done = this->on_control_thread(std::move(done))]
               { this->duties.order_capacity(self, order, done); });
}

} // namespace lagoonladder::daemon
