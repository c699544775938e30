#ifndef LAGOONLADDER_COMPLETION_PLAIN_CALL_HPP
#define LAGOONLADDER_COMPLETION_PLAIN_CALL_HPP

#include <endpoint_calls.hpp>
#include <lagoonladder/completion/api_exchange.hpp>
#include <traffic_router.hpp>

namespace lagoonladder::completion
{

/// The parts that calls of plain services use.
struct plain_parts
{
    traffic_context& context;
    traffic_router& router;
    endpoint_calls& calls;
};

/// A call of a plain service after its checks.
struct plain_call
{
    std::shared_ptr<api_exchange> exchange;
    request_id id;
    version::account_config account;
    version::service_config service;
    route_name route;
    version_name version;
    /// Path and query as the service gets them.
    std::string target;
    time_point arrived{};
    time_point deadline{};
    /// Idempotency-Key; empty when the caller gave none.
    std::string key;
    std::shared_ptr<open_request> counted;
};

/// How one attempt of a call on one endpoint ended.
struct plain_attempt
{
    call_result result = call_result::broken;
    whole_response response;
};

/// Runs an attempt and counts it for the endpoint, the version and the route. `once` takes
/// a connection of its own, and the attempt is never repeated.
std::shared_ptr<endpoint_call> start_plain_attempt(plain_parts const& parts, plain_call const& call,
                                                   connection::endpoint_record const& endpoint,
                                                   bool once,
                                                   std::function<void(plain_attempt const&)> done);

/// Sends the endpoint's answer to the caller and counts the call's time.
void send_answer(plain_parts const& parts, plain_call const& call, whole_response const& answer);

/// Answers an idempotent call; retries within budget and deadline.
void serve_idempotent(plain_parts const& parts, plain_call call);

/// Answers a non-idempotent call, which runs at most once.
void serve_once(plain_parts const& parts, plain_call call);

} // namespace lagoonladder::completion

#endif
