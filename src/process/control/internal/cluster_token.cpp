#include <lagoonladder/control/cluster_token.hpp>

#include <algorithm>

namespace lagoonladder::control
{

namespace
{

// Limits how long a call occupies a thread of the gRPC server.
constexpr duration max_wait = seconds(10);

} // namespace

bool has_cluster_token(grpc::ServerContext const& context, std::string const& token)
{
    auto const& metadata = context.client_metadata();
    auto const found = metadata.find(cluster_token_key);
    return found != metadata.end() &&
           secret_equals({found->second.data(), found->second.size()}, token);
}

grpc::Status missing_cluster_token()
{
    return {grpc::StatusCode::UNAUTHENTICATED, "the call carries no valid cluster token"};
}

duration remaining_time(grpc::ServerContext const& context)
{
    auto const remaining =
        std::chrono::duration_cast<duration>(context.deadline() - std::chrono::system_clock::now());
    return std::clamp(remaining - remaining / 10, duration(0), max_wait);
}

} // namespace lagoonladder::control
