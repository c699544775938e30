#ifndef LAGOONLADDER_CONTROL_LEADER_CLIENT_HPP
#define LAGOONLADDER_CONTROL_LEADER_CLIENT_HPP

#include <functional>
#include <memory>
#include <optional>
#include <type_traits>
#include <vector>

#include "consensus_driver.hpp"
#include "gossip_driver.hpp"

namespace lagoonladder::control
{

/// Client of the consensus group: uses the own node on a VM with a log, and calls to the voters
/// otherwise. Runs on the control thread.
class leader_client
{
public:
    using proposal_handler = consensus_driver::proposal_handler;

    using find_handler = control_plane::find_handler;

    /// `own_node` is null on a VM without a log.
    leader_client(std::shared_ptr<asio::io_context> io, config::settings const& config,
                  peer_channels& channels, gossip_driver const& directories, telemetry const& sinks,
                  consensus_driver* own_node);

    /// Repeats the proposal until it is committed or the deadline has passed. All commands are
    /// idempotent.
    void propose(version::command_body const& body, time_point deadline, proposal_handler done);

    /// Looks up the record of an idempotency key through the quorum.
    void find_once(request::at_most_once_key const& key, time_point deadline, find_handler done);

    /// Sends traffic and usage counts to the leader. Lost reports are not repeated.
    void report(std::vector<version::traffic_sample> const& samples,
                version::usage_report const& usage);

    /// Sets the leader's address that a voter sent last; empty when unknown.
    void set_leader_hint(network_address address) { this->leader_hint = std::move(address); }
    network_address leader() const;

    /// Control addresses of other daemons with a log, or the seeds when no such daemon is known.
    std::vector<network_address> voters() const;

    void stop() { this->stopped = true; }

private:
    /// A command, which may take several attempts.
    struct pending_command;

    void try_propose(std::shared_ptr<pending_command> const& command);
    void propose_remotely(std::shared_ptr<pending_command> const& command,
                          network_address const& target);
    void finish_attempt(std::shared_ptr<pending_command> const& command,
                        proposal_outcome const& outcome);
    void try_find(request::at_most_once_key const& key, time_point deadline,
                  find_handler const& done);
    /// Records the metrics of a command and calls its handler.
    void finish_command(pending_command const& command, proposal_outcome const& outcome);
    /// Address of the leader, or of the next voter while the leader is unknown; empty when there is
    /// none.
    network_address next_target();
    void retry_later(std::function<void()> action);
    /// Decodes a reply of another daemon. Returns no value, and logs the reason, when its bytes are
    /// damaged.
    template <class Decode>
    auto try_decode(char const* reply_kind, Decode decode) const
        -> std::optional<std::invoke_result_t<Decode>>;

    std::shared_ptr<asio::io_context> context;
    config::settings const& options;
    peer_channels& peers;
    gossip_driver const& gossip;
    event_sink& events;
    observability::metrics& metrics;
    clock const& time;
    consensus_driver* const node;
    network_address leader_hint;
    std::size_t next_voter = 0;
    bool stopped = false;
};

} // namespace lagoonladder::control

#endif
