#ifndef LAGOONLADDER_DAEMON_CLUSTER_TOKEN_HPP
#define LAGOONLADDER_DAEMON_CLUSTER_TOKEN_HPP

#include <string>

#include <grpcpp/server_context.h>

namespace lagoonladder::daemon
{

/// Metadata key that carries the cluster token of each call between daemons.
inline constexpr char const* cluster_token_key = "cluster-token";

/// Whether the call carries the token. Compares in constant time.
bool has_cluster_token(grpc::ServerContext const& context, std::string const& token);

} // namespace lagoonladder::daemon

#endif
