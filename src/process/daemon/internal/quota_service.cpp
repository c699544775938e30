#include "quota_service.hpp"

#include <future>

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
    auto const promise = std::make_shared<std::promise<request::lender_reply>>();
    auto future_reply = promise->get_future();
    this->plane->lend_tokens(account_id(request->account()), request->tokens(),
                             [promise](request::lender_reply const& lent)
                             { promise->set_value(lent); });
    if (future_reply.wait_for(control::remaining_time(*context)) != std::future_status::ready)
        return {grpc::StatusCode::DEADLINE_EXCEEDED, "the traffic thread did not reply in time"};
    auto const reply_values = future_reply.get();
    reply->set_tokens(reply_values.lent);
    reply->set_is_holder(reply_values.is_holder);
    return grpc::Status::OK;
}

} // namespace lagoonladder::daemon
