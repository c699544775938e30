#ifndef LAGOONLADDER_COMPLETION_ENDPOINT_CALLS_HPP
#define LAGOONLADDER_COMPLETION_ENDPOINT_CALLS_HPP

#include <functional>
#include <memory>
#include <string>

#include <lagoonladder/completion/traffic_context.hpp>
#include <lagoonladder/http.hpp>

namespace lagoonladder::completion
{

/// How a call to an endpoint ended.
enum class call_result
{
    /// The complete response arrived.
    complete,
    /// No connection could be opened in time, so no byte of the request was sent.
    not_connected,
    /// The connection broke, no byte arrived within the progress timeout, or the response was too
    /// large to be buffered.
    broken
};

/// Receives the response of a call as it arrives, on the traffic thread.
class response_receiver
{
public:
    virtual ~response_receiver() = default;

    virtual void on_head(http::response_head const& head) = 0;
    virtual void on_bytes(std::string_view bytes) = 0;
    /// The call has ended; no further function is called.
    virtual void on_call_end(call_result result) = 0;
};

/// A call in progress.
class endpoint_call
{
public:
    virtual ~endpoint_call() = default;

    /// Closes the connection. No function of the receiver is called afterwards.
    virtual void cancel() = 0;
    /// Stops reading the response; the progress timeout no longer applies.
    virtual void pause() = 0;
};

/// A response that is buffered completely in memory.
struct buffered_response
{
    http::response_head head;
    std::string body;
};

using response_handler = std::function<void(call_result, buffered_response const&)>;

/// Makes HTTP calls to endpoints. Idle connections are kept open for a short time. Used on the
/// traffic thread only.
class endpoint_calls
{
public:
    explicit endpoint_calls(traffic_context& shared_context);

    /// Starts the call of an idempotent request, which may use a kept connection. If the
    /// endpoint turns out to have closed that connection, the call is repeated on a new one.
    std::shared_ptr<endpoint_call> start(network_address const& address, http::request_head head,
                                         std::string const& body, duration progress_timeout,
                                         std::shared_ptr<response_receiver> receiver);

    /// Starts a call on a new connection of its own. The call is never repeated.
    std::shared_ptr<endpoint_call>
    start_single_attempt(network_address const& address, http::request_head head,
                         std::string const& body, duration progress_timeout,
                         std::shared_ptr<response_receiver> receiver);

    /// Calls start() or, if `once`, start_single_attempt(). Buffers the response and
    /// passes it to `done` when the call has ended.
    std::shared_ptr<endpoint_call> fetch(network_address const& address, http::request_head head,
                                         std::string const& body, duration progress_timeout,
                                         bool once, response_handler done);

    /// Closes the kept connections.
    void stop();

private:
    traffic_context& context;
    http::client kept_connections;
    http::client single_connections;
};

} // namespace lagoonladder::completion

#endif
