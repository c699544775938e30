#include <chrono>

#include <catch2/catch.hpp>
#include <control.grpc.pb.h>

#include <lagoonladder/control/peer_channels.hpp>

using namespace lagoonladder;
using namespace lagoonladder::control;

namespace
{

constexpr duration call_timeout = seconds(5);

/// Accepts connections in its listen backlog and never responds.
class silent_peer
{
public:
    silent_peer()
        : acceptor(this->context, {asio::ip::address_v4::loopback(), 0})
    {
    }

    network_address address() const
    {
        return network_address("127.0.0.1:" +
                               std::to_string(this->acceptor.local_endpoint().port()));
    }

private:
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
};

void call(std::shared_ptr<asio::io_context> const& io, peer_channels& peers,
          network_address const& address)
{
    std::shared_ptr stub = protocol::Control::NewStub(peers.channel(address));
    call_async<protocol::ReadStateReply>(
        io, peers, call_timeout, protocol::ReadStateRequest(),
        [stub](auto* context, auto const* sent, auto* reply, auto done)
        { stub->async()->ReadState(context, sent, reply, std::move(done)); },
        [stub](grpc::Status const&, protocol::ReadStateReply&) {});
}

} // namespace

TEST_CASE("open calls have ended when the channels are destroyed")
{
    // Guards against gRPC threads that still process calls while the process exits, which aborts it
    // with a failed assertion in gRPC.
    silent_peer const peer;
    auto const io = std::make_shared<asio::io_context>();
    auto const start_time = std::chrono::steady_clock::now();
    {
        peer_channels peers("secret");
        for (int i = 0; i < 8; ++i)
            call(io, peers, peer.address());
    }
    CHECK(io.use_count() == 1);
    CHECK(std::chrono::steady_clock::now() - start_time < call_timeout / 2);
}
