#ifndef LAGOONLADDER_DAEMON_PASS_THROUGH_PLANE_HPP
#define LAGOONLADDER_DAEMON_PASS_THROUGH_PLANE_HPP

#include <array>
#include <thread>

#include <lagoonladder/platform.hpp>

#include <lagoonladder/control.hpp>

#include "notice_exchange.hpp"
#include "order_ages.hpp"
#include "pause_detector.hpp"
#include "pending_loan.hpp"
#include "placement_explanations.hpp"
#include "token_borrower.hpp"

namespace lagoonladder::daemon
{

/// Responds to GET /metrics with the current metrics.
class metrics_handler : public http::request_handler
{
public:
    explicit metrics_handler(observability::metrics const& source)
        : values(source)
    {
    }

    void handle(std::shared_ptr<http::server_exchange> const& exchange) override;

private:
    observability::metrics const& values;
};

/// Runs the traffic thread of pass-through calls, with its event loop, HTTP servers and clients.
class pass_through_plane : public proxy::traffic_control,
                           public proxy::operations,
                           public proxy::platform_duties,
                           public notice_receiver,
                           public placement_explainer
{
public:
    pass_through_plane(config::settings const& config, control::control_loop& loop,
                       control::peer_channels& channels, event_sink& events,
                       observability::metrics& metrics, clock const& time, std::uint64_t seed,
                       std::shared_ptr<http::request_memory> memory);
    ~pass_through_plane() override;

    /// Starts the servers and the thread. Throws http_error when an address cannot be listened on.
    void start();
    /// Begins the drain: each connection of a caller closes after its next response.
    void drain();
    /// Refuses calls that arrive from now on. Earlier calls still get their responses.
    void refuse_calls();
    /// Responds to all calls that are still open when the time for a planned stop ends.
    void end_calls();
    /// Closes the servers for operators, endpoints and the platform after their pending responses.
    void close_control();
    void stop();
    /// Whether all responses have been written. Meaningful after refuse_calls().
    bool has_answered_calls() const { return this->caller_server.is_drained(); }
    /// Whether all servers have closed their connections. Meaningful after close_control().
    bool is_closed() const;
    std::size_t open_calls() const { return this->open_call_count; }

    // traffic_control
    std::shared_ptr<proxy::traffic_view const> view() const override;
    void record(version::traffic_sample const& sample) override;
    void count_usage(account_id const& account) override;
    void set_demand(std::map<account_id, double> demand, double granted,
                    engine_work_by_service work) override;
    void borrow_tokens(account_id const& account, request::token_shortage const& shortage,
                       duration time_left,
                       std::function<void(request::lending_outcome const&)> done) override;
    void broadcast_prompt(proxy::prompt_notice const& notice) override;
    void send_crash_evidence(std::vector<request::part_evidence> const& evidence,
                             std::optional<std::size_t> receivers) override;

    // notice_receiver
    void on_prompt_notice(proxy::prompt_notice const& notice) override;
    void on_crash_evidence(std::vector<request::part_evidence> const& evidence) override;

    // placement_explainer
    void explain(proxy::placement_query query,
                 std::function<void(explanation_reply const&)> done) override;

    /// Lends tokens of the account's quota to another entry, unless `loan` is abandoned meanwhile.
    /// Safe to call from any thread.
    void lend_tokens(account_id const& account, double wanted, std::shared_ptr<pending_loan> loan);

    // operations
    void apply(version::service_configuration wanted,
               handler<version::apply_map_result> done) override;
    void read_configuration(
        std::function<void(std::shared_ptr<std::string const> const&)> done) override;
    void read_moves(handler<std::vector<version::move_record>> done) override;
    bool has_just_resumed() const override;
    void start_move(version::start_service_move order,
                    handler<version::start_move_result> done) override;
    void set_evacuation(version::set_evacuation order,
                        handler<version::evacuation_result> done) override;
    bool is_known(data_centre_id const& data_centre) const override;
    void announce(connection::endpoint_record row, acknowledgement_handler done) override;
    void remove(endpoint_id const& id, acknowledgement_handler done) override;
    std::vector<network_address> entry_addresses(proxy::directory_query const& query,
                                                 std::size_t max_count) const override;
    bool accepts_calls() const override;

    // platform_duties, called on the control thread
    void report_usage(holder const& self, std::uint64_t window,
                      std::map<account_id, std::uint64_t> const& counts,
                      std::function<void(bool)> done) override;
    void order_capacity(holder const& self, capacity_order const& order,
                        std::function<void(bool)> done) override;

private:
    template <class Result>
    void propose(version::command_body body, handler<Result> done);
    void run();
    std::array<http::server*, 4> control_servers();
    /// Samples the number of open calls, runs the periodic work of the proxy and of the borrowing
    /// of tokens, and schedules itself again.
    void run_periodic_work();
    /// Records the newest orders for moves that this daemon knows.
    void record_orders();
    /// Opens connections to the entries that tokens will be borrowed from, some in each call, so
    /// that they are open in time. Determines these entries again when the configuration or the
    /// serving entries change.
    void prepare_borrowing();
    http::connection_limits limits() const;
    /// Returns the control addresses of the other entries that accept pass-through calls.
    std::vector<network_address> other_entries() const;
    /// Returns at most `count` of other_entries(), drawn at random.
    std::vector<network_address> draw_entries(std::size_t count);
    /// Returns a function that calls `done` on the control thread.
    std::function<void(bool)> on_control_thread(std::function<void(bool)> done);
    /// Returns a function that calls `done` on the traffic thread.
    std::function<void(bool)> on_traffic_thread(std::function<void(bool)> done);

    config::settings const& options;
    control::control_loop& control;
    event_sink& events;
    clock const& time;
    std::shared_ptr<asio::io_context> context;
    asio::executor_work_guard<asio::io_context::executor_type> work_guard;
    http::client client;
    /// Sends the calls of duties. Its response timeout bounds the wait for the platform.
    http::client duty_http_client;
    platform::call_translation translation;
    proxy::call_proxy proxy;
    notice_exchange notices;
    token_borrower borrower;
    /// The view that `borrower` was last prepared for.
    std::shared_ptr<proxy::traffic_view const> prepared_view;
    seeded_random random;
    platform::control_handler control_call_handler;
    platform::directory_handler directory_call_handler;
    platform::readiness_handler readiness_call_handler;
    metrics_handler metrics_call_handler;
    platform::api_client duties;
    http::server caller_server;
    http::server control_server;
    http::server directory_server;
    http::server readiness_server;
    http::server metrics_server;
    asio::steady_timer periodic_timer;
    observability::loop_lag lag;
    pause_detector pauses;
    order_ages orders;
    std::atomic<std::size_t> open_call_count = 0;
    std::thread thread;
};

} // namespace lagoonladder::daemon

#endif
