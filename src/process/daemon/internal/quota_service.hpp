#ifndef LAGOONLADDER_DAEMON_QUOTA_SERVICE_HPP
#define LAGOONLADDER_DAEMON_QUOTA_SERVICE_HPP

#include <control.grpc.pb.h>

#include "pass_through_plane.hpp"

namespace lagoonladder::daemon
{

/// gRPC service that lends this entry's quota tokens to other entries.
class quota_service : public protocol::Quotas::Service
{
public:
    /// `traffic` is null on a daemon that serves no pass-through calls; it then lends no tokens.
    quota_service(pass_through_plane* traffic, config::settings const& config);

    grpc::Status Lend(grpc::ServerContext* context, protocol::LendRequest const* request,
                      protocol::LendReply* reply) override;

private:
    pass_through_plane* const plane;
    config::settings const& options;
};

} // namespace lagoonladder::daemon

#endif
