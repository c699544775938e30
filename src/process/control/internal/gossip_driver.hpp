#ifndef LAGOONLADDER_CONTROL_GOSSIP_DRIVER_HPP
#define LAGOONLADDER_CONTROL_GOSSIP_DRIVER_HPP

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include <control.pb.h>

#include <lagoonladder/config.hpp>
#include <lagoonladder/connection.hpp>
#include <lagoonladder/consensus.hpp>
#include <lagoonladder/observability.hpp>

#include "reclaim_poller.hpp"
#include <lagoonladder/control/peer_channels.hpp>

namespace lagoonladder::control
{

/// Synchronizes the entry and endpoint directories with other daemons by gossip. Each round
/// requests newer rows from two daemons and sends them the endpoints announced here. Leaving
/// marks are batched for some milliseconds and sent to a few entries, which forward them.
/// Runs on the control thread.
class gossip_driver : public consensus::liveness_source
{
public:
    gossip_driver(std::shared_ptr<asio::io_context> io, config::settings const& config,
                  peer_channels& channels, observability::event_timeline& log,
                  clock const& time_source, random_source& random_numbers);

    void start();
    void stop();

    /// Sets the function that is called after a directory has changed.
    void set_change_handler(std::function<void()> handler);
    /// Sets the configuration generation and the number of open requests that the own entry row has
    /// from the next gossip round on.
    void set_own_status(generation current, std::uint32_t open_requests);

    /// Sets in the own entry row the work that this entry gives to the engines of each service.
    void set_engine_work(engine_work_by_service const& work)
    {
        this->entry_rows.set_engine_work(work);
    }
    /// Sets in the own entry row the address for callers of pass-through routes (empty while this
    /// entry accepts none) and the demand of the accounts here, in tokens per second.
    void set_pass_through(network_address const& address,
                          std::map<account_id, double> const& demand);

    /// Receives whether the change may be acknowledged to the endpoint.
    using acknowledgement_handler = connection::leaving_acknowledger::handler;

    /// Merges a row that an endpoint sent. When the endpoint is leaving, `done` is called once
    /// other entries have its mark, or the time for that has passed; otherwise at once.
    connection::endpoint_result announce(connection::endpoint_record record,
                                         acknowledgement_handler done);
    /// Removes an endpoint at its own request. `done` as for a leaving endpoint.
    void remove(endpoint_id const& id, acknowledgement_handler done);
    /// Marks a VM as leaving: its endpoints, and the entry if the VM is one.
    void set_leaving(vm_id const& vm);
    void apply_notices(std::vector<cloud_notice> const& notices);

    /// Returns the digest that a gossip round sends.
    protocol::Digest request_digest() { return this->make_request(); }
    /// Merges a received digest and returns the rows that the sender lacks.
    protocol::Digest exchange(protocol::Digest const& received);

    connection::entry_directory const& entries() const { return this->entry_rows; }
    connection::endpoint_directory const& endpoints() const { return this->endpoint_rows; }
    bool is_leaving() const;

    // liveness_source
    std::optional<duration> time_since_heartbeat(time_point now, vm_id const& vm) const override;

    /// Addresses at which other daemons may be found while none is known: the seeds of the
    /// settings, which may all be gone, and the voters of the own log.
    std::vector<network_address> seed_addresses() const;
    void set_seeds(std::vector<network_address> addresses) { this->seeds = std::move(addresses); }
    /// Sets the source of the addresses of the voters in the own log.
    void set_voter_source(std::function<std::vector<network_address>()> source);
    /// Size of all digests sent since the start, in bytes.
    std::uint64_t sent_bytes() const { return this->total_sent_bytes; }

private:
    void schedule_round();
    void contact_seed();
    void round();
    void send_request(network_address const& address, std::string const& peer);
    /// Calls `on_end` with whether the exchange succeeded. A peer has at most one exchange in
    /// progress; `on_end` is not called when there is one already.
    void send_to(network_address const& address, std::string const& peer,
                 protocol::Digest const& digest, std::function<void(bool)> on_end);
    /// Adds a leaving mark for the row to those that are spread. `sender` is the VM that sent the
    /// mark; empty for a mark that was set here.
    void add_leaving_mark(connection::endpoint_record row, vm_id const& sender);
    void add_leaving_mark(connection::entry_record row, vm_id const& sender);
    /// Adds a leaving mark that was set here for an endpoint or an entry. Does nothing when the
    /// directory has no row of it.
    void add_local_endpoint_mark(endpoint_id const& id);
    void add_local_entry_mark(vm_id const& vm);
    /// Records that the peer has the leaving marks among the rows it sent, so that they are not
    /// sent to it.
    void record_marks_known_to(vm_id const& peer,
                               std::vector<connection::entry_record> const& entries,
                               std::vector<connection::endpoint_record> const& endpoints);
    void schedule_marks();
    void send_marks();
    void on_marks_sent(connection::mark_message const& message, bool has_arrived);
    /// Calls `done` once the leaving of the endpoint may be acknowledged, or must be refused.
    void acknowledge_leaving(connection::endpoint_record const& row, acknowledgement_handler done);
    void schedule_acknowledgements();
    protocol::Digest make_digest() const;
    protocol::Digest make_request();
    protocol::Digest make_reply(protocol::Digest const& received);
    void merge(protocol::Digest const& received);
    void expire_rows();

    std::shared_ptr<asio::io_context> context;
    config::settings const& options;
    peer_channels& peers;
    observability::event_timeline& events;
    clock const& time;
    random_source& random;
    asio::steady_timer timer;
    asio::steady_timer mark_timer;
    asio::steady_timer acknowledgement_timer;
    connection::entry_directory entry_rows;
    connection::endpoint_directory endpoint_rows;
    /// Leaving marks that are being spread to the other entries.
    connection::leaving_mark_disseminator leaving_marks;
    connection::leaving_acknowledger acknowledger;
    time_point const started;
    /// Peers with an exchange in progress.
    std::set<std::string> in_flight;
    /// Endpoints that announced themselves here since the last gossip round.
    std::set<endpoint_id> announced;
    std::function<void()> on_change;
    std::vector<network_address> seeds;
    std::function<std::vector<network_address>()> voter_source;
    generation own_generation;
    std::uint32_t own_open_requests = 0;
    std::size_t next_seed = 0;
    std::uint64_t total_sent_bytes = 0;
    bool marks_scheduled = false;
    bool stopped = false;
};

} // namespace lagoonladder::control

#endif
