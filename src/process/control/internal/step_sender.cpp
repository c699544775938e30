#include "step_sender.hpp"

#include <consensus.grpc.pb.h>

namespace lagoonladder::control
{

step_sender::step_sender(std::shared_ptr<asio::io_context> io, peer_channels& channels,
                         consensus::voter_id id, network_address address, duration timeout)
    : context(std::move(io))
    , peers(channels)
    , self(std::move(id))
    , self_address(std::move(address))
    , call_timeout(timeout)
{
}

void step_sender::send(network_address const& to, consensus::message const& message)
{
    auto& queue = this->queues[to];
    queue.messages.push_back(consensus::encode_message(message));
    if (queue.messages.size() > max_queued_messages)
        queue.messages.pop_front();
    if (!queue.in_flight)
        this->flush(to);
}

void step_sender::flush(network_address const& to)
{
    auto& queue = this->queues[to];
    if (queue.messages.empty() || this->stopped)
        return;
    protocol::StepRequest request;
    request.set_from(this->self.value());
    request.set_from_address(this->self_address.value());
    for (auto& message : queue.messages)
    {
        this->bytes += message.size();
        request.add_messages(std::move(message));
    }
    queue.messages.clear();
    queue.in_flight = true;

    std::shared_ptr stub = protocol::Consensus::NewStub(this->peers.channel(to));
    call_async<protocol::StepReply>(
        this->context, this->peers, this->call_timeout, request,
        [stub](auto* call, auto const* sent, auto* reply, auto done)
        { stub->async()->Step(call, sent, reply, std::move(done)); },
        [this, stub, to](grpc::Status const&, protocol::StepReply&)
        {
            this->queues[to].in_flight = false;
            this->flush(to);
        });
}

} // namespace lagoonladder::control
