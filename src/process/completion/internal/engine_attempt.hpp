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
    /// No connection, a broken or silent one, an error status or missing tokens.
    failed,
    /// The engine refuses the request itself (status 4xx); another one would too.
    rejected,
    /// The engine cannot take the request now (429 or 503).
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

/// One attempt to generate the answer on one engine.
struct attempt_request
{
    network_address address;
    std::string path;
    std::string body;
    duration progress_timeout{};
};

/// Takes what an engine generates, on the traffic thread.
class token_receiver
{
public:
    virtual ~token_receiver() = default;

    /// `data` is the JSON text of the token's event.
    virtual void on_token(engine_event const& event, std::string_view data) = 0;
    /// Bytes have arrived, comments included.
    virtual void on_progress() = 0;
    virtual void on_attempt_end(attempt_result const& result) = 0;
};

/// Posts a request to an engine and hands over its tokens until the stream ends.
class engine_attempt : public response_receiver, public std::enable_shared_from_this<engine_attempt>
{
public:
    /// Keeps the receiver until the attempt has ended.
    explicit engine_attempt(std::shared_ptr<token_receiver> target)
        : receiver(std::move(target))
    {
    }

    void start(endpoint_calls& calls, attempt_request const& request);
    /// Ends the attempt as `stopped`.
    void stop();
    /// Stops reading; the connection stays open.
    void pause();

    void on_head(http::response_head const& head) override;
    void on_bytes(std::string_view bytes) override;
    void on_call_end(call_result result) override;

private:
    bool take_event(std::string_view data);
    /// Closes the connection and judges what has arrived.
    void close();
    attempt_result judge(call_result result) const;
    void end(attempt_result const& result);

    std::shared_ptr<token_receiver> receiver;
    std::weak_ptr<endpoint_call> call;
    event_stream_parser parser;
    std::string refused_body;
    std::string finish_reason;
    std::size_t unused_bytes = 0;
    unsigned status = 0;
    bool has_end_event = false;
    bool has_error_event = false;
    bool is_over = false;
};

/// Best effort: tells an engine to drop a request.
void cancel_on_engine(endpoint_calls& calls, network_address const& address, attempt_id const& id);

/// KV cache of a request that an engine exported.
struct kv_export
{
    std::string handle;
    std::uint64_t tokens = 0;
};

/// `done` gets an empty handle when the engine does not answer in time or has no such request.
void export_kv(endpoint_calls& calls, network_address const& address, attempt_id const& id,
               duration timeout, std::function<void(kv_export const&)> done);

/// `done` gets whether the engine took the cache.
void import_kv(endpoint_calls& calls, network_address const& address, kv_export const& exported,
               network_address const& source, duration timeout, std::function<void(bool)> done);

} // namespace lagoonladder::completion

#endif
