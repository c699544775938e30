#include <lagoonladder/control/peer_channels.hpp>

#include <vector>

#include <grpc/grpc.h>

namespace lagoonladder::control
{

grpc_session::grpc_session()
{
    grpc_init();
}

grpc_session::~grpc_session()
{
    grpc_shutdown();
}

std::shared_ptr<grpc::Channel> peer_channels::channel(network_address const& address)
{
    std::lock_guard const lock(this->mutex);
    auto& pooled_channel = this->channels[address];
    if (!pooled_channel)
    {
        grpc::ChannelArguments arguments;
        // A connection that a middlebox has dropped from its tables goes silent without an
        // error; keepalive pings detect this within seconds.
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, 2000);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 1000);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 0);
        arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 100);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        pooled_channel = grpc::CreateCustomChannel("ipv4:" + address.value(),
                                                   grpc::InsecureChannelCredentials(), arguments);
    }
    return pooled_channel;
}

void peer_channels::prepare(grpc::ClientContext& context, duration timeout) const
{
    context.set_deadline(std::chrono::system_clock::now() + timeout);
    context.AddMetadata("cluster-token", this->cluster_token);
}

std::uint64_t peer_channels::begin_call(std::shared_ptr<grpc::ClientContext> context)
{
    std::lock_guard const lock(this->mutex);
    this->open_calls.emplace(++this->last_call, std::move(context));
    return this->last_call;
}

void peer_channels::end_call(std::uint64_t number)
{
    std::unique_lock lock(this->mutex);
    auto const found = this->open_calls.find(number);
    invariant(found != this->open_calls.end(), "a call between daemons ended twice");
    auto context = std::move(found->second);
    lock.unlock();
    // Releases the call's gRPC resources before the call counts as ended.
    context.reset();
    lock.lock();
    this->open_calls.erase(found);
    this->call_ended.notify_all();
}

void peer_channels::cancel_calls()
{
    std::vector<std::shared_ptr<grpc::ClientContext>> contexts;
    {
        std::lock_guard const lock(this->mutex);
        for (auto const& [number, context] : this->open_calls)
        {
            if (context)
                contexts.push_back(context);
        }
    }
    // Cancelling without the lock: a call may end inside TryCancel, and end_call locks the mutex.
    for (auto const& context : contexts)
        context->TryCancel();
    contexts.clear();
    std::unique_lock lock(this->mutex);
    this->call_ended.wait(lock, [this] { return this->open_calls.empty(); });
}

} // namespace lagoonladder::control
