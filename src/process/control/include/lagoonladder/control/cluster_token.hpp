#ifndef LAGOONLADDER_CONTROL_CLUSTER_TOKEN_HPP
#define LAGOONLADDER_CONTROL_CLUSTER_TOKEN_HPP

#include <string>

#include <grpcpp/server_context.h>

#include <lagoonladder/base.hpp>

namespace lagoonladder::control
{

/// Metadata key of the cluster token, which each call between daemons carries.
inline constexpr char const* cluster_token_key = "cluster-token";

/// Returns whether the call carries the token. Compares in constant time.
bool has_cluster_token(grpc::ServerContext const& context, std::string const& token);

/// Status returned to a call without the token.
grpc::Status missing_cluster_token();

/// Time left until the deadline of a call, less a reserve for sending the reply and limited to
/// ten seconds.
duration remaining_time(grpc::ServerContext const& context);

} // namespace lagoonladder::control

#endif
