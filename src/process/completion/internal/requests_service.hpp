#ifndef LAGOONLADDER_COMPLETION_REQUESTS_SERVICE_HPP
#define LAGOONLADDER_COMPLETION_REQUESTS_SERVICE_HPP

#include <map>
#include <mutex>
#include <vector>

#include <completion_store.hpp>
#include <requests.grpc.pb.h>

namespace lagoonladder::completion
{

/// gRPC service for other entries: stores their requests as companion and returns tokens.
class requests_service : public protocol::Requests::Service
{
public:
    requests_service(traffic_context& shared_context, completion_store& request_store)
        : context(shared_context)
        , store(request_store)
    {
    }

    grpc::Status Store(grpc::ServerContext* call, protocol::StoreRequest const* request,
                       protocol::StoreReply* reply) override;
    grpc::Status Progress(grpc::ServerContext* call, protocol::ProgressRequest const* request,
                          protocol::ProgressReply* reply) override;
    grpc::Status Fetch(grpc::ServerContext* call, protocol::FetchRequest const* request,
                       protocol::FetchReply* reply) override;

    /// Owners of held requests that the view no longer lists, or has not listed within a timeout
    /// after their last Store call. Each is returned once.
    std::vector<vm_id> lost_owners(control_view const& view);

private:
    struct owner_contact
    {
        /// Time of the latest Store call.
        time_point last_call{};
        /// Whether any view has listed the owner. A new entry may send requests before gossip
        /// announces it.
        bool was_listed = false;
    };

    bool is_allowed(grpc::ServerContext const& call) const;

    traffic_context& context;
    completion_store& store;
    std::mutex mutex;
    std::map<vm_id, owner_contact> owners;
};

} // namespace lagoonladder::completion

#endif
