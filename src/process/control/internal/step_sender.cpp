#include "step_sender.hpp"

#include <consensus.grpc.pb.h>

namespace lagoonladder::control
{

namespace
{

/// Only lost calls of at least this size are logged; calls without log entries are far smaller.
constexpr std::size_t min_reported_bytes = 4 * 1024;

} // namespace

step_sender::step_sender(std::shared_ptr<asio::io_context> io, peer_channels& channels,
                         consensus::voter_id id, network_address address, duration timeout,
                         telemetry const& sinks)
    : context(std::move(io))
    , peers(channels)
    , self(std::move(id))
    , self_address(std::move(address))
    , base_timeout(timeout)
    , events(sinks.events)
    , metrics(sinks.metrics)
    , time(sinks.time)
{
}

void step_sender::send(network_address const& to, consensus::message const& message)
{
    auto& queue = this->queues[to];
    queue.messages.push_back(consensus::encode_message(message));
    queue.bytes += queue.messages.back().size();
    while (queue.messages.size() > max_queued_messages ||
           (queue.bytes > max_queued_bytes && queue.messages.size() > 1))
    {
        queue.bytes -= queue.messages.front().size();
        queue.messages.pop_front();
        this->metrics.add("consensus_messages_dropped_total");
    }
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
    std::size_t size = 0;
    while (!queue.messages.empty() &&
           (size == 0 || size + queue.messages.front().size() <= max_call_bytes))
    {
        size += queue.messages.front().size();
        request.add_messages(std::move(queue.messages.front()));
        queue.messages.pop_front();
    }
    queue.bytes -= size;
    this->bytes += size;
    queue.in_flight = true;
    auto const started = this->time.now();
    auto const timeout =
        this->base_timeout +
        microseconds(static_cast<std::int64_t>(size * 1'000'000 / min_bytes_per_second));

    std::shared_ptr stub = protocol::Consensus::NewStub(this->peers.channel(to));
    call_async<protocol::StepReply>(
        this->context, this->peers, timeout, request,
        [stub](auto* call, auto const* sent, auto* reply, auto done)
        { stub->async()->Step(call, sent, reply, std::move(done)); },
        [this, stub, to, size, started](grpc::Status const& status, protocol::StepReply&)
        {
            this->record_call_end(to, size, started, status);
            this->queues[to].in_flight = false;
            this->flush(to);
        });
}

void step_sender::record_call_end(network_address const& to, std::size_t size, time_point started,
                                  grpc::Status const& status)
{
    observability::metric_labels const outcome{{"outcome", call_outcome(status)}};
    this->metrics.add("consensus_calls_total", outcome);
    this->metrics.add("consensus_call_bytes_total", outcome, static_cast<double>(size));
    // Lost heartbeats show in the log by the role changes that follow from them.
    if (status.ok() || size < min_reported_bytes)
        return;
    this->events.emit(severity::warning, "consensus.call_lost",
                      {{"to", to.value()},
                       {"bytes", std::to_string(size)},
                       {"elapsed_ms", milliseconds_text(this->time.now() - started)},
                       {"reason", status.error_message()}});
}

} // namespace lagoonladder::control
