#ifndef LAGOONLADDER_COMPLETION_COMPLETION_ROUTES_HPP
#define LAGOONLADDER_COMPLETION_COMPLETION_ROUTES_HPP

#include <completion_answer.hpp>
#include <completion_service.hpp>
#include <lagoonladder/completion/route_module.hpp>

namespace lagoonladder::completion
{

/// Completions: POST /v1/chat/completions and POST /v1/completions.
class completion_routes : public route_module
{
public:
    explicit completion_routes(completion_service& shared_service)
        : service(shared_service)
    {
    }

    void register_routes(route_table& routes) override;

private:
    void serve(std::shared_ptr<api_exchange> const& exchange, bool is_chat);
    void answer(std::shared_ptr<api_exchange> const& exchange, answer_properties const& properties,
                account_id const& account, bool is_streamed, time_point started,
                std::shared_ptr<open_request> request_guard);

    completion_service& service;
};

} // namespace lagoonladder::completion

#endif
