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

/// Fetches contents from voters part by part. Parts received so far are kept when a voter fails,
/// and also when all of them do. Runs on the control thread.
class content_fetcher
{
public:
    /// Receives no value when the content could not be fetched from any voter.
    using handler = std::function<void(std::optional<version::packed_content> const&)>;

    content_fetcher(std::shared_ptr<asio::io_context> io, peer_channels& channels,
                    leader_client& client, content_cache& local_contents, telemetry const& sinks);

    /// Fetches a content from `first_voter` and, after failures, from the other voters. Concurrent
    /// fetches of the same content are combined.
    void fetch(version::content_digest const& digest, network_address const& first_voter,
               handler done);

    void stop() { this->stopped = true; }

private:
    struct content_fetch
    {
        std::string bytes;
        std::uint64_t total_bytes = 0;
        network_address voter;
        /// Failed calls since the last part was received.
        std::size_t failures = 0;
        time_point started{};
        std::vector<handler> handlers;
    };

    /// Beginning of the content whose fetch was given up last.
    struct partial_content
    {
        version::content_digest digest;
        std::string bytes;
    };

    void request_part(version::content_digest const& digest);
    void handle_part(version::content_digest const& digest, grpc::Status const& status,
                     protocol::ReadContentReply& reply);
    void try_next_voter(version::content_digest const& digest, std::string const& reason);
    void count_part(grpc::Status const& status, protocol::ReadContentReply const& reply);
    void complete_fetch(version::content_digest const& digest);
    void give_up(version::content_digest const& digest);
    void close_fetch(version::content_digest const& digest,
                     std::optional<version::packed_content> const& content);

    std::shared_ptr<asio::io_context> context;
    peer_channels& peers;
    leader_client& consensus_group;
    content_cache& cache;
    event_sink& events;
    observability::metrics& metrics;
    clock const& time;
    std::map<version::content_digest, content_fetch> fetches;
    partial_content last_partial;
    std::size_t next_voter = 0;
    bool stopped = false;
};

} // namespace lagoonladder::control

#endif
