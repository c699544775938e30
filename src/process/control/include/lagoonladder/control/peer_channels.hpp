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

/// Keeps gRPC initialized during its lifetime, so that gRPC isn't shut down from one of its own
/// threads while the process exits.
class grpc_session
{
public:
    grpc_session();
    ~grpc_session();
    grpc_session(grpc_session const&) = delete;
    grpc_session& operator=(grpc_session const&) = delete;
};

/// Pool of gRPC channels to other daemons, one per control address, and registry of the calls in
/// progress on them. Thread-safe.
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

    /// Returns the channel to an address, creating it on first use.
    std::shared_ptr<grpc::Channel> channel(network_address const& address);

    /// Sets the deadline of a call and adds the cluster token.
    void prepare(grpc::ClientContext& context, duration timeout) const;

    /// Registers a call as open until `end_call` and returns its number.
    std::uint64_t begin_call(std::shared_ptr<grpc::ClientContext> context);

    void end_call(std::uint64_t number);

    /// Cancels all open calls and waits until they have ended.
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

/// Starts a unary call and runs `done` on `io` when it has ended. `start` receives the context,
/// request, reply and callback, and passes them to the generated async stub.
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
                  // Releases the io_context before `end_call`: `cancel_calls` may return right
                  // after it.
                  io.reset();
                  peers.end_call(number);
              }));
}

} // namespace lagoonladder::control

#endif
