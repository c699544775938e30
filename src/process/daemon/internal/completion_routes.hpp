#ifndef LAGOONLADDER_DAEMON_COMPLETION_ROUTES_HPP
#define LAGOONLADDER_DAEMON_COMPLETION_ROUTES_HPP

#include <completion_answer.hpp>
#include <completion_service.hpp>
#include <route_module.hpp>

namespace lagoonladder::daemon
{

/// POST /v1/chat/completions and /v1/completions.
class completion_routes : public route_module
{
public:
    explicit completion_routes(completion_service& shared)
        : service(shared)
    {
    }

    void register_routes(httplib::Server& server) override;

private:
    void serve(httplib::Request const& request, httplib::Response& response, bool is_chat);

    completion_service& service;
};

/// Tokens of a request that this entry holds.
class local_token_source : public token_source
{
public:
    local_token_source(completion_store& requests, request_id request, account_id owner)
        : store(requests)
        , id(std::move(request))
        , account(std::move(owner))
    {
    }
    request::fetched read(token_offset offset) override;

private:
    completion_store& store;
    request_id const id;
    account_id const account;
};

/// Sends the outcome of a request that failed before its first token.
void send_failure(httplib::Response& response, request::request_outcome const& outcome);

} // namespace lagoonladder::daemon

#endif
