#ifndef LAGOONLADDER_CONTROL_STEP_SENDER_HPP
#define LAGOONLADDER_CONTROL_STEP_SENDER_HPP

#include <deque>
#include <map>
#include <memory>
#include <string>

#include <lagoonladder/consensus.hpp>

#include <lagoonladder/control/peer_channels.hpp>

namespace lagoonladder::control
{

/// Sends consensus messages to other voters, one call at a time for each.
/// Lives on the control thread.
class step_sender
{
public:
    step_sender(std::shared_ptr<asio::io_context> io, peer_channels& channels,
                consensus::voter_id id, network_address address, duration timeout);

    /// Messages are lost when the voter does not answer; consensus repeats them.
    void send(network_address const& to, consensus::message const& message);

    void stop() { this->stopped = true; }

    std::uint64_t sent_bytes() const { return this->bytes; }

private:
    struct peer_queue
    {
        std::deque<std::string> messages;
        bool in_flight = false;
    };

    /// Older messages are dropped beyond this; a voter that does not answer must
    /// not grow the memory of the others.
    static constexpr std::size_t max_queued_messages = 64;

    void flush(network_address const& to);

    std::shared_ptr<asio::io_context> context;
    peer_channels& peers;
    consensus::voter_id const self;
    network_address const self_address;
    duration const call_timeout;
    std::map<network_address, peer_queue> queues;
    std::uint64_t bytes = 0;
    bool stopped = false;
};

} // namespace lagoonladder::control

#endif
