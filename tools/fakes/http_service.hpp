#ifndef LAGOONLADDER_FAKES_HTTP_SERVICE_HPP
#define LAGOONLADDER_FAKES_HTTP_SERVICE_HPP

#include <atomic>
#include <functional>
#include <string>

#include <httplib.h>

#include "fault_switch.hpp"

namespace lagoonladder::fakes
{

/// Blocks SIGTERM and SIGINT in this thread and in the threads that it starts. Must be called
/// before the first thread starts, so that http_service::run() receives the signals.
void block_stop_signals();

/// An HTTP server that runs until SIGTERM or SIGINT.
class http_service
{
public:
    /// The address has the form "host:port".
    explicit http_service(std::string initial_listen);

    httplib::Server server;
    fault_switch faults{20261204};

    /// Serves requests until a stop signal, then calls `drain` and exits the process with
    /// code 0. Returns 1 when the address cannot be bound.
    int run(std::function<void()> const& drain = [] {});

    /// Number of requests whose handler or stream has not ended.
    std::atomic<int> open_requests = 0;

private:
    std::string listen;
};

/// Counts one open request for the lifetime of the guard.
class open_request_guard
{
public:
    explicit open_request_guard(http_service& initial_service)
        : service(initial_service)
    {
        ++this->service.open_requests;
    }
    ~open_request_guard() { --this->service.open_requests; }
    open_request_guard(open_request_guard const&) = delete;
    open_request_guard& operator=(open_request_guard const&) = delete;

private:
    http_service& service;
};

/// Sets the status and a JSON body of a response.
void answer_json(httplib::Response& response, int status, nlohmann::json const& body);

/// Closes the connection of a request without a response.
void close_connection(httplib::Request const& request);

} // namespace lagoonladder::fakes

#endif
