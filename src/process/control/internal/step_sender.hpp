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

/// Sends consensus messages to other voters, with at most one call in progress to each. Runs on
/// the control thread.
class step_sender
{
public:
    step_sender(std::shared_ptr<asio::io_context> io, peer_channels& channels,
                consensus::voter_id id, network_address address, duration timeout,
                telemetry const& sinks);

    /// Queues a message. It is lost when the voter does not reply in time; the consensus protocol
    /// repeats it.
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

    /// Limits of a queue, beyond which the oldest messages are dropped: a voter that does not
    /// reply must not use up the memory of the others.
    static constexpr std::size_t max_queued_messages = 64;
    static constexpr std::size_t max_queued_bytes = 1024 * 1024;
    /// Size of a call, beyond which messages wait for the next one, so that each call is bounded
    /// in time and is replied to before the next one.
    static constexpr std::size_t max_call_bytes = 64 * 1024;
    /// Transfer rate assumed for a call's timeout, in addition to the base timeout.
    static constexpr std::uint64_t min_bytes_per_second = 250'000;

    void flush(network_address const& to);
    void record_call_end(network_address const& to, std::size_t size, time_point started,
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
