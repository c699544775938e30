#ifndef LAGOONLADDER_CONTROL_CONTROL_THREAD_HPP
#define LAGOONLADDER_CONTROL_CONTROL_THREAD_HPP

#include <atomic>
#include <memory>
#include <thread>

#include <lagoonladder/control/control_loop.hpp>

#include "configuration_client.hpp"
#include "consensus_driver.hpp"
#include "duty_driver.hpp"
#include "evacuation_orders.hpp"
#include "gossip_driver.hpp"
#include "leader_client.hpp"
#include "move_driver.hpp"
#include "reclaim_poller.hpp"
#include "state_follower.hpp"
#include "telemetry.hpp"
#include "traffic_counter.hpp"
#include "usage_counter.hpp"

namespace lagoonladder::control
{

/// Implementation of control_loop: one thread that runs an event loop.
class control_thread : public control_loop
{
public:
    /// Loads the stored log. Throws storage_error when it is damaged.
    explicit control_thread(control_dependencies const& dependencies);
    ~control_thread() override;

    void start() override;
    void stop() override;

    std::shared_ptr<control_view const> view() const override;
    void propose(version::command_body body, duration timeout, proposal_handler done) override;
    void find_once(request::at_most_once_key const& key, duration timeout,
                   find_handler done) override;
    void announce(connection::endpoint_record record, acknowledgement_handler done) override;
    void remove_endpoint(endpoint_id const& id, acknowledgement_handler done) override;
    void record_traffic(version::traffic_sample const& sample) override;
    void set_leaving(vm_id const& vm) override;
    void set_open_requests(std::uint32_t count) override;

    void apply_services(version::service_configuration configuration, apply_handler done) override;
    void read_services(read_handler done) override;
    std::shared_ptr<proxy::traffic_view const> traffic() const override;
    void count_usage(account_id const& account) override;
    void set_demand(std::map<account_id, double> demand, double granted,
                    engine_work_by_service work) override;
    void set_seeds(std::vector<network_address> seeds) override;
    void set_platform_duties(proxy::platform_duties* target) override;
    void post(std::function<void()> action) override;
    std::vector<std::unique_ptr<grpc::Service>> make_services() override;

    // To be called on the control thread only.
    consensus_driver* node() { return this->own_node.get(); }
    gossip_driver& gossip() { return this->directories; }
    state_follower const& follower() const { return this->followed_state; }
    move_driver& moves() { return this->version_moves; }
    leader_client& consensus_group() { return this->group_client; }
    duty_driver& duties() { return this->platform_duties; }

    /// Safe to call from any thread.
    content_cache const& contents() const { return this->cache; }
    observability::metrics& metrics() const { return this->metrics_registry; }

private:
    void run();
    /// To be called on the control thread only.
    void propose_until(version::command_body const& body, time_point deadline,
                       proposal_handler done);
    void schedule_publish();
    void publish();
    void schedule_report();
    void report();
    void update_metrics(control_view const& current);
    void schedule_lag_check();

    config::settings const& options;
    observability::event_timeline& events;
    observability::metrics& metrics_registry;
    clock const& time;
    telemetry const sinks;
    peer_channels& peers;
    seeded_random random;
    std::shared_ptr<asio::io_context> context;
    asio::executor_work_guard<asio::io_context::executor_type> work_guard;
    /// Uses `directories` once the thread runs.
    std::unique_ptr<consensus_driver> own_node;
    gossip_driver directories;
    connection::limit_sharing sharing;
    leader_client group_client;
    content_cache cache;
    content_fetcher fetcher;
    configuration_client configurations;
    state_follower followed_state;
    evacuation_orders ordered_evacuations;
    move_driver version_moves;
    duty_driver platform_duties;
    traffic_counter traffic_counts;
    usage_counter usage_counts;
    std::map<account_id, double> account_demand;
    /// Tokens per second that were granted to all accounts at this entry.
    double granted_demand = 0;
    http_cloud_api cloud;
    reclaim_poller notice_poller;
    asio::steady_timer publish_timer;
    asio::steady_timer report_timer;
    asio::steady_timer lag_timer;
    observability::loop_lag lag;
    bool publish_scheduled = false;
    std::uint32_t report_count = 0;
    std::atomic<std::uint32_t> open_requests = 0;
    std::atomic<std::shared_ptr<control_view const>> published;
    std::atomic<std::shared_ptr<proxy::traffic_view const>> published_traffic;
    std::thread thread;
};

} // namespace lagoonladder::control

#endif
