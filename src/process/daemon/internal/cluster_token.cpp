#include <cluster_token.hpp>

#include <traffic_secret.hpp>

namespace lagoonladder::daemon
{

bool has_cluster_token(grpc::ServerContext const& context, std::string const& token)
{
    auto const& metadata = context.client_metadata();
    auto const found = metadata.find(cluster_token_key);
    return found != metadata.end() &&
           secret_equals({found->second.data(), found->second.size()}, token);
}

} // namespace lagoonladder::daemon
