#ifndef LAGOONLADDER_COMPLETION_ENGINE_ATTEMPT_HPP
#define LAGOONLADDER_COMPLETION_ENGINE_ATTEMPT_HPP

#include <memory>
#include <string>
#include <string_view>

#include <endpoint_calls.hpp>
#include <event_stream_parser.hpp>

namespace lagoonladder::completion
{

/// How an attempt on a model engine ended.
enum class attempt_end
{
    finished,
    /// The connection could not be opened, broke or was silent, the engine sent an error, or the
    /// stream ended too early.
    failed,
    /// The engine rejects the request itself (status 4xx); another engine would as well.
    rejected,
    /// The engine cannot accept the request at present (status 429 or 503).
    busy,
    /// stop() was called.
    stopped
};

struct attempt_result
{
    attempt_end end = attempt_end::failed;
    unsigned status = 0;
    std::string detail;
    std::string finish_reason;
};

/// Parameters of one attempt to generate the answer on one engine.
struct attempt_request
{
    network_address address;
    std::string path;
    std::string body;
    duration progress_timeout{};
};

/// Receives the tokens that an engine generates, on the traffic thread.
class token_receiver
{
public:
    virtual ~token_receiver() = default;

    /// Called for each token; `data` is the JSON text of its event.
    virtual void on_token(engine_event const& event, std::string_view data) = 0;
    /// Called when bytes have arrived, including comment lines of the event stream.
    virtual void on_progress() = 0;
    virtual void on_attempt_end(attempt_result const& result) = 0;
};

/// Posts a request to an engine and passes its tokens to the receiver until the stream ends.
class engine_attempt : public response_receiver, public std::enable_shared_from_this<engine_attempt>
{
public:
    /// Holds a reference to the receiver until the attempt has ended.
    explicit engine_attempt(std::shared_ptr<token_receiver> target)
        : receiver(std::move(target))
    {
    }

    void start(endpoint_calls& calls, attempt_request const& request);
    /// Ends the attempt with the result `stopped`.
    void stop();
    /// Stops reading; the connection stays open.
    void pause();

    void on_head(http::response_head const& head) override;
    void on_bytes(std::string_view bytes) override;
    void on_call_end(call_result result) override;

private:
    /// Returns false if no further events are to be read.
    bool handle_event(std::string_view data);
    /// Closes the connection and ends the attempt with the result that follows from the bytes
    /// received so far.
    void close();
    attempt_result evaluate(call_result result) const;
    void end(attempt_result const& result);

    std::shared_ptr<token_receiver> receiver;
    std::weak_ptr<endpoint_call> call;
    event_stream_parser parser;
    std::string error_body;
    std::string finish_reason;
    std::size_t drained_bytes = 0;
    unsigned status = 0;
    bool has_end_event = false;
    bool has_error_event = false;
    bool has_ended = false;
};

/// Asks an engine to cancel a request. Failures are ignored.
void cancel_on_engine(endpoint_calls& calls, network_address const& address, attempt_id const& id);

/// Handle of the KV cache of a request that an engine has exported.
struct kv_export
{
    std::string handle;
    std::uint64_t tokens = 0;
};

/// Exports the KV cache of an attempt. `done` receives an empty handle if the engine does not
/// respond in time or does not know the attempt.
void export_kv(endpoint_calls& calls, network_address const& address, attempt_id const& id,
               duration timeout, std::function<void(kv_export const&)> done);

/// Imports an exported KV cache from `source`. `done` receives whether the engine accepted it.
void import_kv(endpoint_calls& calls, network_address const& address,
               kv_export const& exported_cache, network_address const& source, duration timeout,
               std::function<void(bool)> done);

} // namespace lagoonladder::completion

#endif
