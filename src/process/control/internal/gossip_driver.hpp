#ifndef LAGOONLADDER_CONTROL_GOSSIP_DRIVER_HPP
#define LAGOONLADDER_CONTROL_GOSSIP_DRIVER_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <control.pb.h>

#include <lagoonladder/config.hpp>
#include <lagoonladder/connection.hpp>
#include <lagoonladder/observability.hpp>

#include "reclaim_poller.hpp"
#include <lagoonladder/control/peer_channels.hpp>

namespace lagoonladder::control
{

/// Keeps the endpoint and entry directories in step with other daemons: each round asks
/// two of them for the rows that are newer there, and tells them what was announced here.
/// Leaving marks are sent at once and repeated. Lives on the control thread.
class gossip_driver
{
public:
    gossip_driver(std::shared_ptr<asio::io_context> io, config::settings const& config,
                  peer_channels& channels, observability::event_timeline& log,
                  clock const& time_source, random_source& random_numbers);

    void start();
    void stop();

    /// Called after a directory has changed.
    void set_change_handler(std::function<void()> handler);
    /// Figures for the own row.
    void set_own_figures(generation current, std::uint32_t open_requests);

    /// Address for callers of pass-through routes, empty while none are taken, and the
    /// demand of their accounts.
    void set_pass_through(network_address const& address,
                          std::map<account_id, double> const& demand);

    connection::directory_result announce(connection::endpoint_record record);
    void remove(endpoint_id const& id);
    /// Marks an entry VM, or the endpoints of a VM, as leaving.
    void set_leaving(vm_id const& vm);
    void apply_notices(std::vector<platform_notice> const& notices);

    /// The request of a full round.
    protocol::Digest request() { return this->make_request({}, digest_scope::all); }
    /// Merges a received digest and returns the rows that the sender lacks.
    protocol::Digest exchange(protocol::Digest const& received);

    connection::entry_directory const& entries() const { return this->entry_rows; }
    connection::endpoint_directory const& endpoints() const { return this->endpoint_rows; }
    bool is_leaving() const;
    std::vector<network_address> const& seed_addresses() const { return this->seeds; }
    void set_seeds(std::vector<network_address> addresses) { this->seeds = std::move(addresses); }
    std::uint64_t sent_bytes() const { return this->bytes; }

private:
    /// What a digest carries.
    enum class digest_scope
    {
        all,
        /// Rows of leaving entries and endpoints, which must be everywhere within seconds.
        leaving
    };

    struct peer_progress
    {
        /// Leaving rows up to this version of the own directory were sent.
        std::uint64_t sent_leaving_version = 0;
        bool in_flight = false;
    };

    void schedule_round();
    /// A full round once per interval, rounds of leaving rows in between.
    void round();
    void full_round(time_point now);
    void send_to(network_address const& address, std::string const& peer, digest_scope scope);
    void send_news();
    protocol::Digest make_digest(digest_scope scope) const;
    protocol::Digest make_request(std::string const& peer, digest_scope scope);
    protocol::Digest make_reply(protocol::Digest const& received);
    void add_leaving_rows(protocol::Digest& digest, std::string const& peer);
    void merge(protocol::Digest const& received);
    void report_expired();

    std::shared_ptr<asio::io_context> context;
    config::settings const& options;
    peer_channels& peers;
    observability::event_timeline& events;
    clock const& time;
    random_source& random;
    asio::steady_timer timer;
    connection::entry_directory entry_rows;
    connection::endpoint_directory endpoint_rows;
    std::map<std::string, peer_progress> progress;
    /// Endpoints that announced themselves here since the last full round.
    std::set<endpoint_id> announced;
    std::function<void()> on_change;
    std::vector<network_address> seeds;
    std::optional<time_point> last_full_round;
    generation own_generation;
    std::uint32_t own_requests = 0;
    std::size_t next_seed = 0;
    std::uint64_t bytes = 0;
    bool stopped = false;
};

} // namespace lagoonladder::control

#endif
