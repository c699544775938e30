#ifndef LAGOONLADDER_DAEMON_PEER_CHANNELS_HPP
#define LAGOONLADDER_DAEMON_PEER_CHANNELS_HPP

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <asio.hpp>
#include <grpcpp/grpcpp.h>

#include <lagoonladder/base.hpp>

namespace lagoonladder::daemon
{

/// gRPC channels to other daemons, one per control address. Safe to call from
/// any thread.
class peer_channels
{
public:
    explicit peer_channels(std::string token)
        : cluster_token(std::move(token))
    {
    }

    std::shared_ptr<grpc::Channel> channel(network_address const& address);

    /// Sets the deadline and the cluster token of a call.
    void prepare(grpc::ClientContext& context, duration timeout) const;

private:
    std::string const cluster_token;
    std::mutex mutex;
    std::map<network_address, std::shared_ptr<grpc::Channel>> channels;
};

/// Starts a unary call and runs `done` on `io` when it has ended. `start` gets
/// the context, request, reply and the callback of the generated async stub.
template <class Reply, class Request, class Start, class Done>
void call_async(std::shared_ptr<asio::io_context> const& io, peer_channels const& peers,
                duration timeout, Request const& request, Start start, Done done)
{
    struct pending_call
    {
        grpc::ClientContext context;
        Request request;
        Reply reply;
    };
    auto call = std::make_shared<pending_call>();
    call->request = request;
    peers.prepare(call->context, timeout);
    start(&call->context, &call->request, &call->reply,
          std::function<void(grpc::Status)>(
              [call, io, done](grpc::Status const& status)
              { asio::post(*io, [call, status, done] { done(status, call->reply); }); }));
}

} // namespace lagoonladder::daemon

#endif
