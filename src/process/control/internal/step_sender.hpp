#ifndef LAGOONLADDER_CONTROL_STEP_SENDER_HPP
#define LAGOONLADDER_CONTROL_STEP_SENDER_HPP

#include <deque>
#include <map>
#include <memory>
#include <string>

#include <lagoonladder/consensus.hpp>

#include <lagoonladder/control/peer_channels.hpp>

#include "telemetry.hpp"

namespace lagoonladder::control
{

/// Sends consensus messages to other voters, one call at a time for each.
/// Lives on the control thread.
class step_sender
{
public:
    step_sender(std::shared_ptr<asio::io_context> io, peer_channels& channels,
                consensus::voter_id id, network_address address, duration timeout,
                telemetry const& reports);

    /// Messages are lost when the voter does not answer in time; consensus repeats them.
    void send(network_address const& to, consensus::message const& message);

    void stop() { this->stopped = true; }

    std::uint64_t sent_bytes() const { return this->bytes; }

private:
    struct peer_queue
    {
        std::deque<std::string> messages;
        std::size_t bytes = 0;
        bool in_flight = false;
    };

    /// Older messages are dropped beyond these; a voter that does not answer must
    /// not grow the memory of the others.
    static constexpr std::size_t max_queued_messages = 64;
    static constexpr std::size_t max_queued_bytes = 1024 * 1024;
    /// A call takes no further messages beyond this, so that each call is bounded in time
    /// and what it carries is answered before the next one.
    static constexpr std::size_t max_call_bytes = 64 * 1024;
    /// Bytes a second that a call is given time for, beside its base time.
    static constexpr std::uint64_t least_rate = 250'000;

    void flush(network_address const& to);
    void note_end(network_address const& to, std::size_t size, time_point started,
                  grpc::Status const& status);

    std::shared_ptr<asio::io_context> context;
    peer_channels& peers;
    consensus::voter_id const self;
    network_address const self_address;
    duration const base_timeout;
    event_sink& events;
    observability::metrics& metrics;
    clock const& time;
    std::map<network_address, peer_queue> queues;
    std::uint64_t bytes = 0;
    bool stopped = false;
};

} // namespace lagoonladder::control

#endif
