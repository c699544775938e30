#ifndef LAGOONLADDER_DAEMON_PLAIN_CALL_HPP
#define LAGOONLADDER_DAEMON_PLAIN_CALL_HPP

#include <httplib.h>

#include <traffic_problem.hpp>
#include <traffic_router.hpp>
#include <traffic_upstream.hpp>

namespace lagoonladder::daemon
{

/// The parts that calls of plain services use.
class worker_threads;

struct plain_parts
{
    traffic_context& context;
    traffic_router& router;
    upstream_connections& upstream;
    /// For commits that no caller waits for.
    worker_threads& background;
};

/// A call of a plain service after its checks.
struct plain_call
{
    request_id id;
    version::account_config account;
    version::service_config service;
    route_name route;
    version_name version;
    /// Path and query as the service gets them.
    std::string target;
    httplib::Request const* request = nullptr;
    time_point deadline{};
    /// Idempotency-Key; empty when the caller gave none.
    std::string key;
};

/// One attempt of a call on one endpoint.
struct plain_attempt
{
    upstream_result result = upstream_result::broken;
    httplib::Response response;
};

/// The request for the endpoint: without the caller's credentials and without
/// headers that belong to one connection.
httplib::Request endpoint_request(plain_call const& call);

/// Copies the endpoint's answer to the caller's response.
void copy_answer(httplib::Response const& from, httplib::Response& to);

/// Runs an attempt and counts it for the endpoint, the version and the route. `once`
/// takes a connection of its own, and the attempt is never repeated.
plain_attempt run_plain_attempt(plain_parts const& parts, plain_call const& call,
                                connection::endpoint_record const& endpoint, bool once);

/// Answers an idempotent call; retries within budget and deadline. Throws refusal.
void serve_idempotent(plain_parts const& parts, plain_call const& call,
                      httplib::Response& response);

/// Answers a non-idempotent call, which runs at most once. Throws refusal.
void serve_once(plain_parts const& parts, plain_call const& call, httplib::Response& response);

} // namespace lagoonladder::daemon

#endif
