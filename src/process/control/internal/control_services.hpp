#ifndef LAGOONLADDER_CONTROL_CONTROL_SERVICES_HPP
#define LAGOONLADDER_CONTROL_CONTROL_SERVICES_HPP

#include <consensus.grpc.pb.h>
#include <control.grpc.pb.h>

#include "control_thread.hpp"

namespace lagoonladder::control
{

/// gRPC service for messages of the consensus protocol.
class consensus_service : public protocol::Consensus::Service
{
public:
    consensus_service(control_thread& loop, config::settings const& config);

    grpc::Status Step(grpc::ServerContext* context, protocol::StepRequest const* request,
                      protocol::StepReply* reply) override;
    grpc::Status Identify(grpc::ServerContext* context, protocol::IdentifyRequest const* request,
                          protocol::IdentifyReply* reply) override;
    grpc::Status Join(grpc::ServerContext* context, protocol::JoinRequest const* request,
                      protocol::JoinReply* reply) override;

private:
    control_thread& control;
    config::settings const& options;
};

/// gRPC service for proposals, reads of the control state and traffic counts.
class control_service : public protocol::Control::Service
{
public:
    control_service(control_thread& loop, config::settings const& config, clock const& time_source);

    grpc::Status Propose(grpc::ServerContext* context, protocol::ProposeRequest const* request,
                         protocol::ProposeReply* reply) override;
    grpc::Status ReadState(grpc::ServerContext* context, protocol::ReadStateRequest const* request,
                           protocol::ReadStateReply* reply) override;
    grpc::Status ReadContent(grpc::ServerContext* context,
                             protocol::ReadContentRequest const* request,
                             protocol::ReadContentReply* reply) override;
    grpc::Status FindOnce(grpc::ServerContext* context, protocol::FindOnceRequest const* request,
                          protocol::FindOnceReply* reply) override;
    grpc::Status Report(grpc::ServerContext* context, protocol::ReportRequest const* request,
                        protocol::ReportReply* reply) override;

private:
    control_thread& control;
    config::settings const& options;
    clock const& time;
};

/// gRPC service for gossip between directories.
class directory_service : public protocol::Directory::Service
{
public:
    directory_service(control_thread& loop, config::settings const& config);

    grpc::Status Exchange(grpc::ServerContext* context, protocol::Digest const* request,
                          protocol::Digest* reply) override;

private:
    control_thread& control;
    config::settings const& options;
};

/// gRPC service for the daemon's part of the event timeline.
class events_service : public protocol::Events::Service
{
public:
    events_service(observability::event_timeline& log, config::settings const& config);

    grpc::Status List(grpc::ServerContext* context, protocol::ListEventsRequest const* request,
                      protocol::ListEventsReply* reply) override;

private:
    observability::event_timeline& events;
    config::settings const& options;
};

} // namespace lagoonladder::control

#endif
