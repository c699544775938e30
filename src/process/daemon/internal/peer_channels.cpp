#include "peer_channels.hpp"

namespace lagoonladder::daemon
{

std::shared_ptr<grpc::Channel> peer_channels::channel(network_address const& address)
{
    std::lock_guard const lock(this->mutex);
    auto& known = this->channels[address];
    if (!known)
    {
        grpc::ChannelArguments arguments;
        // A connection that a middlebox has forgotten goes silent without an
        // error; pings find that out within seconds.
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, 2000);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 1000);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 0);
        arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 100);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        known = grpc::CreateCustomChannel("ipv4:" + address.value(),
                                          grpc::InsecureChannelCredentials(), arguments);
    }
    return known;
}

void peer_channels::prepare(grpc::ClientContext& context, duration timeout) const
{
    context.set_deadline(std::chrono::system_clock::now() + timeout);
    context.AddMetadata("cluster-token", this->cluster_token);
}

} // namespace lagoonladder::daemon
