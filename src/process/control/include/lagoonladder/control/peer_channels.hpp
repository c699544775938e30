#ifndef LAGOONLADDER_CONTROL_PEER_CHANNELS_HPP
#define LAGOONLADDER_CONTROL_PEER_CHANNELS_HPP

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <asio.hpp>
#include <grpcpp/grpcpp.h>

#include <lagoonladder/base.hpp>

namespace lagoonladder::control
{

/// Keeps gRPC initialized, so that its last use does not end on one of its own
/// threads while the process exits.
class grpc_session
{
public:
    grpc_session();
    ~grpc_session();
    grpc_session(grpc_session const&) = delete;
    grpc_session& operator=(grpc_session const&) = delete;
};

/// gRPC channels to other daemons, one per control address, and the calls that
/// are open on them. Safe to call from any thread.
class peer_channels
{
public:
    explicit peer_channels(std::string token)
        : cluster_token(std::move(token))
    {
    }

    ~peer_channels() { this->cancel_calls(); }
    peer_channels(peer_channels const&) = delete;
    peer_channels& operator=(peer_channels const&) = delete;

    std::shared_ptr<grpc::Channel> channel(network_address const& address);

    /// Sets the deadline and the cluster token of a call.
    void prepare(grpc::ClientContext& context, duration timeout) const;

    /// Number of a call that is open until `end_call`.
    std::uint64_t begin_call(std::shared_ptr<grpc::ClientContext> context);

    void end_call(std::uint64_t number);

    /// Cancels all open calls and waits until each has ended.
    void cancel_calls();

private:
    grpc_session session;
    std::string const cluster_token;
    std::mutex mutex;
    std::condition_variable call_ended;
    std::map<network_address, std::shared_ptr<grpc::Channel>> channels;
    std::map<std::uint64_t, std::shared_ptr<grpc::ClientContext>> open_calls;
    std::uint64_t last_call = 0;
};

/// Starts a unary call and runs `done` on `io` when it has ended. `start` gets
/// the context, request, reply and the callback of the generated async stub.
template <class Reply, class Request, class Start, class Done>
void call_async(std::shared_ptr<asio::io_context> io, peer_channels& peers, duration timeout,
                Request const& request, Start start, Done done)
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
    auto const number =
        peers.begin_call(std::shared_ptr<grpc::ClientContext>(call, &call->context));
    start(&call->context, &call->request, &call->reply,
          std::function<void(grpc::Status)>(
              [call, io = std::move(io), done, &peers, number](grpc::Status const& status) mutable
              {
                  asio::post(*io, [call = std::move(call), status, done = std::move(done)]
                             { done(status, call->reply); });
                  // Nothing of the call is left to this thread once it counts as ended.
                  io.reset();
                  peers.end_call(number);
              }));
}

} // namespace lagoonladder::control

#endif
