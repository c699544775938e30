#ifndef LAGOONLADDER_COMPLETION_PLAIN_CALL_HPP
#define LAGOONLADDER_COMPLETION_PLAIN_CALL_HPP

#include <endpoint_calls.hpp>
#include <lagoonladder/completion/api_exchange.hpp>
#include <traffic_router.hpp>

namespace lagoonladder::completion
{

/// Objects that calls of plain services use.
struct plain_dependencies
{
    traffic_context& context;
    traffic_router& router;
    endpoint_calls& calls;
};

/// A validated call of a plain service.
struct plain_call
{
    std::shared_ptr<api_exchange> exchange;
    request_id id;
    version::account_config account;
    version::service_config service;
    route_name route;
    version_name version;
    /// Path and query as the service receives them.
    std::string target;
    time_point arrived{};
    time_point deadline{};
    /// Idempotency-Key header; empty if the caller sent none.
    std::string key;
    std::shared_ptr<open_request> request_guard;
};

/// Result of one attempt of a call on one endpoint.
struct plain_attempt_result
{
    call_result result = call_result::broken;
    buffered_response response;
};

/// Runs an attempt and records its result for the endpoint, the version and the route. With
/// `once`, the attempt uses a connection of its own and is never repeated.
std::shared_ptr<endpoint_call>
start_plain_attempt(plain_dependencies const& dependencies, plain_call const& call,
                    connection::endpoint_record const& endpoint, bool once,
                    std::function<void(plain_attempt_result const&)> done);

/// Sends the endpoint's response to the caller and records the duration of the call.
void send_response(plain_dependencies const& dependencies, plain_call const& call,
                   buffered_response const& response);

/// Serves an idempotent call, with retries within the retry budget and the deadline.
void serve_idempotent(plain_dependencies const& dependencies, plain_call call);

/// Serves a non-idempotent call, which is executed at most once.
void serve_at_most_once(plain_dependencies const& dependencies, plain_call call);

} // namespace lagoonladder::completion

#endif
