#ifndef LAGOONLADDER_CONTROL_STATE_FOLLOWER_HPP
#define LAGOONLADDER_CONTROL_STATE_FOLLOWER_HPP

#include <deque>
#include <functional>
#include <memory>

#include "content_fetcher.hpp"
#include "evacuation_follower.hpp"

namespace lagoonladder::control
{

/// Maintains the newest shared control state that this daemon has received, and decides whether
/// it may be served. Runs on the control thread.
class state_follower
{
public:
    state_follower(std::shared_ptr<asio::io_context> io, config::settings const& config,
                   peer_channels& channels, leader_client& client, content_fetcher& fetcher,
                   content_cache& local_contents, telemetry const& sinks,
                   consensus_driver* own_node);

    void start();
    void stop();
    void set_change_handler(std::function<void()> handler);

    /// Adopts the own node's state. To be called after log entries were applied.
    void refresh_from_node();

    /// Returns whether the state was read through a quorum since the start, so that it is at
    /// least as new as any state this daemon served before a restart.
    bool is_ready() const { return this->ready; }
    bool has_recent_quorum() const;
    std::uint64_t term() const { return this->latest_term; }
    /// Returns the time from which on this daemon may handle calls by an older configuration than
    /// the one in force, unless a voter confirms the state until then. A past time when a voter has
    /// announced a content that was not fetched yet.
    time_point configuration_expiry() const;
    /// Log index of the newest change whose contents a voter has announced; 0 before the first.
    std::uint64_t newest_announced_index() const { return this->announced_index; }
    std::shared_ptr<version::shared_state const> state() const { return this->current_state; }

private:
    /// Returns whether a voter has announced a content that was not fetched yet.
    bool awaits_content() const
    {
        return this->announced_index > this->current_state->changed_index;
    }
    /// Latest time known as of which the state reflected everything that had been committed.
    time_point state_confirmed_at() const;
    /// Whether only another voter can confirm the state: there is no own node, its disk fails, or
    /// it has not confirmed its state for some time.
    bool needs_other_voter() const;
    void schedule_poll();
    void poll();
    void poll_voter();
    void count_poll(char const* outcome);
    void record_failed_poll(network_address const& voter, grpc::Status const& status);
    void record_announced_change(std::uint64_t index);
    void record_changes_in_force();
    void record_contact(time_point sent_at, bool is_confirmed,
                        protocol::ReadStateReply const& reply);
    void handle_reply(network_address const& voter, protocol::ReadStateReply const& reply);
    /// Adopts a status, or fetches its missing contents first.
    void handle_status(network_address const& voter, version::shared_status const& status);
    void fetch_next();
    void handle_content(std::optional<version::packed_content> const& content);
    void confirm_own_state();
    void adopt(std::shared_ptr<version::shared_state const> candidate);
    void report_change(version::shared_state const& previous);
    void become_ready();

    std::shared_ptr<asio::io_context> context;
    config::settings const& options;
    peer_channels& peers;
    leader_client& consensus_group;
    content_fetcher& content_source;
    content_cache& cache;
    event_sink& events;
    observability::metrics& metrics;
    clock const& time;
    consensus_driver* const node;
    asio::steady_timer timer;
    std::function<void()> on_change;
    std::shared_ptr<version::shared_state const> current_state =
        std::make_shared<version::shared_state>();
    evacuation_follower evacuations;
    /// Status whose contents are being fetched.
    std::optional<version::shared_status> pending_status;
    network_address pending_source;
    std::vector<version::packed_content> fetched_contents;
    bool fetch_in_flight = false;
    /// changed_index of the newest status that a voter has announced.
    std::uint64_t announced_index = 0;
    struct announced_change
    {
        std::uint64_t index = 0;
        time_point when{};
    };
    /// Announced changes that are not yet in force at this daemon, oldest first.
    std::deque<announced_change> announced_changes;
    std::optional<time_point> last_successful_poll;
    observability::log_rate_limiter failed_poll_log_limit{seconds(1)};
    bool ready = false;
    std::size_t polls_in_flight = 0;
    bool stopped = false;
    std::uint64_t latest_term = 0;
    std::size_t next_voter = 0;
    time_point last_quorum_contact{};
};

} // namespace lagoonladder::control

#endif
