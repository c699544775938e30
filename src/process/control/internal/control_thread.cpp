#include "control_thread.hpp"

#include <future>

#include "control_services.hpp"
#include "pass_through_view.hpp"

namespace lagoonladder::control
{

namespace
{

/// Changes within this time are published together, so that announcements of many endpoints
/// do not each copy the directory.
constexpr duration publish_delay = milliseconds(5);
/// Interval at which the duty holder runs its steps.
constexpr duration report_interval = milliseconds(500);
/// Traffic counts and moves need no interval shorter than a second. An entry that fails loses the
/// usage counts of up to a second; a shorter interval would cost the leader more processor time.
constexpr std::uint32_t reports_per_step = 2;
/// Any delay of the event loop longer than this affects at least one of these timers.
constexpr duration lag_check_interval = milliseconds(100);

} // namespace

control_thread::control_thread(control_dependencies const& dependencies)
    : options(dependencies.options)
    , events(dependencies.events)
    , metrics_registry(dependencies.metrics)
    , time(dependencies.time)
    , sinks{dependencies.events, dependencies.metrics, dependencies.time}
    , peers(dependencies.peers)
    , random(dependencies.seed)
    , context(std::make_shared<asio::io_context>(1))
    , work_guard(asio::make_work_guard(*this->context))
    , own_node(dependencies.store
                   ? std::make_unique<consensus_driver>(
                         this->context, this->options, dependencies.voter, *dependencies.store,
                         dependencies.peers, this->directories, this->sinks, this->random)
                   : nullptr)
    , directories(this->context, this->options, dependencies.peers, this->events, this->time,
                  this->random)
    , group_client(this->context, this->options, dependencies.peers, this->directories, this->sinks,
                   this->own_node.get())
    , fetcher(this->context, dependencies.peers, this->group_client, this->cache, this->sinks)
    , configurations(this->group_client, this->fetcher, this->sinks)
    , followed_state(this->context, this->options, dependencies.peers, this->group_client,
                     this->fetcher, this->cache, this->sinks, this->own_node.get())
    , ordered_evacuations(this->group_client, this->followed_state, this->sinks)
    , version_moves(this->own_node.get(), this->options.pass_through, this->sinks)
    , platform_duties(this->own_node.get(), this->options, this->sinks)
    , usage_counts(this->options.vm, this->time, this->options.pass_through.usage_window)
    , cloud(this->options.cloud_api)
    , notice_poller(this->cloud, this->events,
                    [this](std::vector<cloud_notice> notices)
                    { this->post([this, notices] { this->directories.apply_notices(notices); }); })
    , publish_timer(*this->context)
    , report_timer(*this->context)
    , lag_timer(*this->context)
    , lag(dependencies.events, dependencies.metrics, dependencies.time, "control")
{
    this->published = std::make_shared<control_view const>();
    this->published_traffic = std::make_shared<proxy::traffic_view const>();
    this->directories.set_change_handler([this] { this->schedule_publish(); });
    this->followed_state.set_change_handler([this] { this->schedule_publish(); });
    if (!this->own_node)
        return;
    this->own_node->set_applied_handler([this] { this->followed_state.refresh_from_node(); });
    this->own_node->set_voter_source([this] { return this->group_client.voters(); });
    this->directories.set_voter_source([this] { return this->own_node->voter_addresses(); });
}

control_thread::~control_thread()
{
    this->stop();
}

void control_thread::start()
{
    this->post(
        [this]
        {
            if (this->own_node)
                this->own_node->start();
            this->directories.start();
            this->followed_state.start();
            this->schedule_report();
            this->schedule_lag_check();
            this->publish();
        });
    this->thread = std::thread([this] { this->run(); });
    if (!this->options.cloud_api.value().empty())
        this->notice_poller.start();
}

void control_thread::run()
{
    try
    {
        this->context->run();
    }
    catch (std::exception const& problem)
    {
        // Without its control state the daemon can neither honour nor learn what was committed; a
        // restart reads it from the disk or the quorum.
        this->events.emit(severity::error, "control.failed", {{"reason", problem.what()}});
        invariant_violated(std::string("control thread: ") + problem.what());
    }
}

void control_thread::stop()
{
    if (!this->thread.joinable())
        return;
    this->notice_poller.stop();
    this->post(
        [this]
        {
            this->followed_state.stop();
            this->fetcher.stop();
            this->directories.stop();
            this->group_client.stop();
            if (this->own_node)
                this->own_node->stop();
            this->publish_timer.cancel();
            this->report_timer.cancel();
            this->lag_timer.cancel();
            this->context->stop();
        });
    this->thread.join();
    this->peers.cancel_calls();
}

void control_thread::post(std::function<void()> action)
{
    asio::post(*this->context, std::move(action));
}

std::shared_ptr<control_view const> control_thread::view() const
{
    return this->published.load();
}

void control_thread::propose(version::command_body body, duration timeout, proposal_handler done)
{
    this->post([this, body = std::move(body), timeout, done = std::move(done)]
               { this->propose_until(body, this->time.now() + timeout, done); });
}

void control_thread::propose_until(version::command_body const& body, time_point deadline,
                                   proposal_handler done)
{
    if (auto const* order = std::get_if<version::set_evacuation>(&body))
        return this->ordered_evacuations.propose(*order, deadline, std::move(done));
    this->group_client.propose(body, deadline, std::move(done));
}

void control_thread::find_once(request::at_most_once_key const& key, duration timeout,
                               find_handler done)
{
    this->post([this, key, timeout, done = std::move(done)]
               { this->group_client.find_once(key, this->time.now() + timeout, done); });
}

void control_thread::apply_services(version::service_configuration configuration,
                                    apply_handler done)
{
    this->post([this, configuration = std::move(configuration), done = std::move(done)]
               { this->configurations.apply(configuration, done); });
}

void control_thread::read_services(read_handler done)
{
    this->post([this, done = std::move(done)] { this->configurations.read(done); });
}

std::shared_ptr<proxy::traffic_view const> control_thread::traffic() const
{
    return this->published_traffic.load();
}

void control_thread::count_usage(account_id const& account)
{
    this->usage_counts.add(account);
}

std::vector<std::unique_ptr<grpc::Service>> control_thread::make_services()
{
    std::vector<std::unique_ptr<grpc::Service>> services;
    services.push_back(std::make_unique<consensus_service>(*this, this->options));
    services.push_back(std::make_unique<control_service>(*this, this->options, this->time));
    services.push_back(std::make_unique<directory_service>(*this, this->options));
    services.push_back(std::make_unique<events_service>(this->events, this->options));
    return services;
}

void control_thread::set_demand(std::map<account_id, double> demand, double granted,
                                engine_work_by_service work)
{
    this->post(
        [this, demand = std::move(demand), granted, work = std::move(work)]
        {
            this->account_demand = demand;
            this->granted_demand = granted;
            this->directories.set_engine_work(work);
        });
}

void control_thread::set_seeds(std::vector<network_address> seeds)
{
    this->post([this, seeds = std::move(seeds)] { this->directories.set_seeds(seeds); });
}

void control_thread::set_platform_duties(proxy::platform_duties* target)
{
    this->post([this, target] { this->platform_duties.set_platform(target); });
}

void control_thread::announce(connection::endpoint_record record, acknowledgement_handler done)
{
    this->post([this, record = std::move(record), done = std::move(done)]
               { this->directories.announce(record, done); });
}

void control_thread::remove_endpoint(endpoint_id const& id, acknowledgement_handler done)
{
    this->post([this, id, done = std::move(done)] { this->directories.remove(id, done); });
}

void control_thread::record_traffic(version::traffic_sample const& sample)
{
    this->traffic_counts.add(sample);
}

void control_thread::set_leaving(vm_id const& vm)
{
    this->post([this, vm] { this->directories.set_leaving(vm); });
}

void control_thread::set_open_requests(std::uint32_t count)
{
    this->open_requests = count;
}

void control_thread::schedule_publish()
{
    if (this->publish_scheduled)
        return;
    this->publish_scheduled = true;
    this->publish_timer.expires_after(publish_delay);
    this->publish_timer.async_wait(
        [this](asio::error_code const& problem)
        {
            this->publish_scheduled = false;
            if (!problem)
                this->publish();
        });
}

void control_thread::publish()
{
    auto const now = this->time.now();
    auto next = std::make_shared<control_view>();
    next->ready = this->followed_state.is_ready();
    next->quorum_recent = this->followed_state.has_recent_quorum();
    next->leaving = this->directories.is_leaving();
    next->term = this->own_node ? this->own_node->term() : this->followed_state.term();
    next->leader = this->group_client.leader().value();
    next->shared = this->followed_state.state();
    next->configuration_expiry = this->followed_state.configuration_expiry();
    for (auto& row : this->directories.endpoints().live(now))
        next->endpoints[row.service].push_back(std::move(row));
    next->entries = this->directories.entries().live(now);
    next->portion = this->sharing.update(now, static_cast<std::uint32_t>(next->entries.size()),
                                         next->quorum_recent);
    next->directory =
        std::make_shared<connection::entry_directory const>(this->directories.entries());
    if (this->own_node)
    {
        for (auto const& [id, address] : this->own_node->membership().voters)
            next->voters.push_back(id.value());
    }
    this->directories.set_own_status(next->shared->generation, this->open_requests);
    bool const takes_calls = next->ready && next->shared->services && !next->leaving;
    auto const traffic_view = make_traffic_view(*next, this->options);
    this->directories.set_pass_through(
        takes_calls ? this->options.pass_through.callers : network_address(),
        demand_to_publish(*traffic_view, this->account_demand, this->granted_demand));
    this->published_traffic.store(traffic_view);
    this->notice_poller.set_active(this->directories.entries().is_cloud_poller(now));
    this->update_metrics(*next);
    this->published.store(std::move(next));
}

void control_thread::update_metrics(control_view const& current)
{
    this->metrics_registry.set("ready", {}, current.ready ? 1 : 0);
    this->metrics_registry.set("quorum_recent", {}, current.quorum_recent ? 1 : 0);
    this->metrics_registry.set("configuration_generation", {},
                               static_cast<double>(current.shared->generation.value()));
    if (current.shared->services)
        this->metrics_registry.set("pass_through_configuration", {},
                                   static_cast<double>(current.shared->services->map().number));
    this->metrics_registry.set("state_index", {},
                               static_cast<double>(current.shared->changed_index));
    this->metrics_registry.set(
        "state_index_named", {},
        static_cast<double>(std::max(current.shared->changed_index,
                                     this->followed_state.newest_announced_index())));
    this->metrics_registry.set("entries", {}, static_cast<double>(current.entries.size()));
    this->metrics_registry.set("entries_sharing_limits", {},
                               static_cast<double>(current.portion.entries));
    this->metrics_registry.set("quota_accrues", {}, current.portion.may_accrue ? 1 : 0);
    this->metrics_registry.set(
        "evacuated_data_centres", {},
        static_cast<double>(version::evacuated_data_centres(current.shared->evacuations).size()));
    for (auto const& [service, rows] : current.endpoints)
        this->metrics_registry.set("endpoints", {{"service", service.value()}},
                                   static_cast<double>(rows.size()));
    this->metrics_registry.set("gossip_sent_bytes", {},
                               static_cast<double>(this->directories.sent_bytes()));
}

void control_thread::schedule_report()
{
    this->report_timer.expires_after(report_interval);
    this->report_timer.async_wait(
        [this](asio::error_code const& problem)
        {
            if (problem)
                return;
            this->report();
            this->schedule_report();
        });
}

void control_thread::schedule_lag_check()
{
    this->lag_timer.expires_after(lag_check_interval);
    this->lag_timer.async_wait(
        [this](asio::error_code const& problem)
        {
            if (problem)
                return;
            auto const late = std::chrono::steady_clock::now() - this->lag_timer.expiry();
            bool const is_leader = this->own_node && this->own_node->is_leader();
            this->lag.record(std::chrono::duration_cast<duration>(late),
                             {{"is_leader", is_leader ? "true" : "false"}});
            this->schedule_lag_check();
        });
}

void control_thread::report()
{
    bool const is_step = ++this->report_count % reports_per_step == 0;
    auto const samples =
        is_step ? this->traffic_counts.take() : std::vector<version::traffic_sample>();
    auto const usage = this->usage_counts.report();
    if (this->own_node && this->own_node->is_leader())
    {
        this->version_moves.collect(samples);
        this->platform_duties.collect(usage);
    }
    else if (is_step && (!samples.empty() || !usage.windows.empty()))
    {
        this->group_client.report(samples, usage);
    }
    if (is_step)
        this->version_moves.step(*this->view());
    this->platform_duties.step(*this->view());
}

std::unique_ptr<control_loop> make_control_loop(control_dependencies const& dependencies)
{
    return std::make_unique<control_thread>(dependencies);
}

} // namespace lagoonladder::control
