#ifndef LAGOONLADDER_CONTROL_STATE_FOLLOWER_HPP
#define LAGOONLADDER_CONTROL_STATE_FOLLOWER_HPP

#include <deque>
#include <functional>
#include <memory>

#include "content_fetcher.hpp"

namespace lagoonladder::control
{

/// Keeps the newest shared control state that this daemon has seen, and decides
/// whether it may be served. Lives on the control thread.
class state_follower
{
public:
    state_follower(std::shared_ptr<asio::io_context> io, config::settings const& config,
                   peer_channels& channels, leader_client& client, content_fetcher& fetcher,
                   content_cache& held, telemetry const& reports, consensus_driver* own_node);

    void start();
    void stop();
    void set_change_handler(std::function<void()> handler);

    /// Takes the own node's state; called after entries were applied.
    void refresh_from_node();

    /// The state was read through a quorum since the start, so it is at least as
    /// new as any state this daemon served before it was restarted.
    bool is_ready() const { return this->ready; }
    bool has_recent_quorum() const;
    std::uint64_t term() const { return this->latest_term; }
    /// A voter has named a content that is not here yet: calls may be decided by an
    /// older configuration than the one in force.
    bool knows_newer() const { return this->named_index > this->current->changed_index; }
    /// Log index of the newest change whose contents a voter has named; 0 before the first.
    std::uint64_t newest_named() const { return this->named_index; }
    std::shared_ptr<version::shared_state const> state() const { return this->current; }

private:
    void schedule_poll();
    void poll();
    void poll_voter();
    void count_poll(char const* outcome);
    void note_failed_poll(network_address const& voter, grpc::Status const& status);
    void note_named(std::uint64_t index);
    void note_in_force();
    void take_reply(network_address const& voter, protocol::ReadStateReply const& reply);
    /// Adopts a status, at once when its contents are here.
    void follow(network_address const& voter, version::shared_status const& status);
    void fetch_next();
    void take_content(std::optional<version::packed_content> const& content);
    void confirm_own_state();
    void adopt(std::shared_ptr<version::shared_state const> candidate);
    void report_change(version::shared_state const& before);
    void become_ready();

    std::shared_ptr<asio::io_context> context;
    config::settings const& options;
    peer_channels& peers;
    leader_client& leaders;
    content_fetcher& contents;
    content_cache& cache;
    event_sink& events;
    observability::metrics& metrics;
    clock const& time;
    consensus_driver* const node;
    asio::steady_timer timer;
    std::function<void()> on_change;
    std::shared_ptr<version::shared_state const> current =
        std::make_shared<version::shared_state>();
    /// The newest status whose contents are not all here.
    std::optional<version::shared_status> wanted;
    network_address wanted_from;
    std::vector<version::packed_content> fetched;
    bool fetch_in_flight = false;
    /// changed_index of the newest status that a voter has sent.
    std::uint64_t named_index = 0;
    struct named_change
    {
        std::uint64_t index = 0;
        time_point when{};
    };
    /// Changes that a voter has named and that are not in force here, oldest first.
    std::deque<named_change> named;
    std::optional<time_point> last_good_poll;
    observability::line_limit failed_poll_lines{seconds(1)};
    bool ready = false;
    bool poll_in_flight = false;
    bool stopped = false;
    std::uint64_t latest_term = 0;
    std::size_t next_voter = 0;
    time_point quorum_heard{};
};

} // namespace lagoonladder::control

#endif
