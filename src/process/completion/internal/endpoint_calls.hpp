#ifndef LAGOONLADDER_COMPLETION_ENDPOINT_CALLS_HPP
#define LAGOONLADDER_COMPLETION_ENDPOINT_CALLS_HPP

#include <functional>
#include <memory>
#include <string>

#include <lagoonladder/completion/traffic_context.hpp>
#include <lagoonladder/http.hpp>

namespace lagoonladder::completion
{

/// How a call to an endpoint ended on the connection.
enum class call_result
{
    /// A whole response arrived.
    complete,
    /// No connection: no byte of the request was sent.
    not_connected,
    /// The connection broke, or was silent for the progress timeout.
    broken
};

/// Takes the response of a call as it comes, on the traffic thread.
class response_receiver
{
public:
    virtual ~response_receiver() = default;

    virtual void on_head(http::response_head const& head) = 0;
    virtual void on_bytes(std::string_view bytes) = 0;
    /// The call has ended; nothing follows.
    virtual void on_call_end(call_result result) = 0;
};

/// A call in progress.
class endpoint_call
{
public:
    virtual ~endpoint_call() = default;

    /// Closes the connection; the receiver hears nothing more.
    virtual void cancel() = 0;
    /// Stops reading the response; the progress timeout does not apply any more.
    virtual void pause() = 0;
};

/// A response that is read as a whole.
struct whole_response
{
    http::response_head head;
    std::string body;
};

using response_handler = std::function<void(call_result, whole_response const&)>;

/// HTTP calls to endpoints. Idle connections are kept for a short time. Used on the
/// traffic thread.
class endpoint_calls
{
public:
    explicit endpoint_calls(traffic_context& shared);

    /// Runs a call of an idempotent request; a kept connection may be used. When it turns
    /// out to be closed, the call is repeated on a new one.
    std::shared_ptr<endpoint_call> start(network_address const& address, http::request_head head,
                                         std::string const& body, duration progress_timeout,
                                         std::shared_ptr<response_receiver> receiver);

    /// Runs a call on a connection of its own and never repeats it.
    std::shared_ptr<endpoint_call> start_once(network_address const& address,
                                              http::request_head head, std::string const& body,
                                              duration progress_timeout,
                                              std::shared_ptr<response_receiver> receiver);

    /// Like start() or, if `once`, start_once(), for a response that is read as a whole.
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
