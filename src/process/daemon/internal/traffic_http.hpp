#ifndef LAGOONLADDER_DAEMON_TRAFFIC_HTTP_HPP
#define LAGOONLADDER_DAEMON_TRAFFIC_HTTP_HPP

#include <functional>

#include <httplib.h>

#include <traffic_context.hpp>
#include <traffic_problem.hpp>

namespace lagoonladder::daemon
{

/// Sets status, headers and body of a refusal, logs it and counts it.
void send_refusal(traffic_context& context, httplib::Request const& request,
                  httplib::Response& response, problem const& refused);

/// Wraps a handler: a thrown refusal becomes its answer, other exceptions become
/// status 500 with executed=unknown.
httplib::Server::Handler guarded(traffic_context& context, httplib::Server::Handler handler);

/// Token of "Authorization: Bearer TOKEN"; empty when there is none.
std::string bearer_token(httplib::Request const& request);

/// Account of the caller's key. Throws refusal (401).
version::account_config const& authenticate(control_view const& view,
                                            httplib::Request const& request);

/// The current view. Throws refusal (503, `executed`) before it is ready.
std::shared_ptr<control_view const> ready_view(traffic_context& context, execution executed);

/// Value of X-Request-Timeout, or the fallback. Throws refusal (400).
duration request_timeout(httplib::Request const& request, duration fallback);

/// Parses a JSON body. Throws refusal (400).
nlohmann::json parse_json_body(httplib::Request const& request);

} // namespace lagoonladder::daemon

#endif
