#ifndef LAGOONLADDER_CONTROL_CLUSTER_TOKEN_HPP
#define LAGOONLADDER_CONTROL_CLUSTER_TOKEN_HPP

#include <string>

#include <grpcpp/server_context.h>

#include <lagoonladder/base.hpp>

namespace lagoonladder::control
{

/// Metadata key that carries the cluster token of each call between daemons.
inline constexpr char const* cluster_token_key = "cluster-token";

/// Whether the call carries the token. Compares in constant time.
bool has_cluster_token(grpc::ServerContext const& context, std::string const& token);

/// Answer to a call without the token.
grpc::Status missing_cluster_token();

/// Time left for a call, without the part that its answer needs.
duration remaining_time(grpc::ServerContext const& context);

} // namespace lagoonladder::control

#endif
