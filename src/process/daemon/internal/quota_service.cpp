#include "quota_service.hpp"

namespace lagoonladder::daemon
{

quota_service::quota_service(pass_through_plane* traffic, config::settings const& config)
    : plane(traffic)
    , options(config)
{
}

grpc::Status quota_service::Lend(grpc::ServerContext* context, protocol::LendRequest const* request,
                                 protocol::LendReply* reply)
{
    if (!control::has_cluster_token(*context, this->options.cluster_token))
        return control::missing_cluster_token();
    if (this->plane == nullptr)
        return grpc::Status::OK;
    auto const loan = std::make_shared<pending_loan>();
    this->plane->lend_tokens(account_id(request->account()), request->tokens(), loan);
    auto const lent = loan->wait(control::remaining_time(*context));
    if (!lent)
        return {grpc::StatusCode::DEADLINE_EXCEEDED, "the traffic thread did not reply in time"};
    reply->set_tokens(lent->lent);
    reply->set_is_holder(lent->is_holder);
    return grpc::Status::OK;
}

} // namespace lagoonladder::daemon
