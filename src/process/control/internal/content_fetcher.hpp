#ifndef LAGOONLADDER_CONTROL_CONTENT_FETCHER_HPP
#define LAGOONLADDER_CONTROL_CONTENT_FETCHER_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <control.grpc.pb.h>

#include "content_cache.hpp"
#include "leader_client.hpp"

namespace lagoonladder::control
{

/// Fetches contents from voters part by part. A part that has arrived is kept when a
/// voter fails, and when all of them do. Lives on the control thread.
class content_fetcher
{
public:
    /// Gets no value when no voter holds the content.
    using handler = std::function<void(std::optional<version::packed_content> const&)>;

    content_fetcher(std::shared_ptr<asio::io_context> io, peer_channels& channels,
                    leader_client& client, content_cache& held, telemetry const& reports);

    /// Asks `first` and then the other voters. Fetches of the same content share their parts.
    void fetch(version::content_digest const& digest, network_address const& first, handler done);

    void stop() { this->stopped = true; }

private:
    struct content_fetch
    {
        std::string bytes;
        std::uint64_t total = 0;
        network_address voter;
        /// Calls that brought no part since the last one that did.
        std::size_t failures = 0;
        time_point started{};
        std::vector<handler> waiting;
    };

    /// First bytes of the content whose fetch was given up last.
    struct kept_content
    {
        version::content_digest digest;
        std::string bytes;
    };

    void ask(version::content_digest const& digest);
    void take(version::content_digest const& digest, grpc::Status const& status,
              protocol::ReadContentReply& reply);
    void try_next_voter(version::content_digest const& digest, std::string const& reason);
    void count_part(grpc::Status const& status, protocol::ReadContentReply const& reply);
    void finish(version::content_digest const& digest);
    void give_up(version::content_digest const& digest);
    void end(version::content_digest const& digest,
             std::optional<version::packed_content> const& content);

    std::shared_ptr<asio::io_context> context;
    peer_channels& peers;
    leader_client& leaders;
    content_cache& cache;
    event_sink& events;
    observability::metrics& metrics;
    clock const& time;
    std::map<version::content_digest, content_fetch> fetches;
    kept_content kept;
    std::size_t next_voter = 0;
    bool stopped = false;
};

} // namespace lagoonladder::control

#endif
