#ifndef LAGOONLADDER_DAEMON_ENGINE_ATTEMPT_HPP
#define LAGOONLADDER_DAEMON_ENGINE_ATTEMPT_HPP

#include <functional>
#include <string>
#include <string_view>

#include <event_stream_parser.hpp>
#include <traffic_context.hpp>

namespace lagoonladder::daemon
{

class upstream_connections;

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
    /// The caller of run() ended the attempt.
    stopped
};

struct attempt_result
{
    attempt_end end = attempt_end::failed;
    int status = 0;
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

/// Handles one token; `data` is the JSON text of its event. False ends the attempt.
using token_handler = std::function<bool(engine_event const& event, std::string_view data)>;
/// Asked for each piece of data, comments included. False ends the attempt.
using continue_check = std::function<bool()>;

/// Posts the request and hands over its tokens until the stream ends.
attempt_result run_attempt(upstream_connections& upstream, attempt_request const& attempt,
                           token_handler const& on_token, continue_check const& may_continue);

/// Best effort: tells an engine to drop a request.
void cancel_on_engine(network_address const& address, attempt_id const& id);

/// KV cache of a request that an engine exported.
struct kv_export
{
    std::string handle;
    std::uint64_t tokens = 0;
};

/// Empty handle when the engine does not answer in time or has no such request.
kv_export export_kv(network_address const& address, attempt_id const& id, duration timeout);
bool import_kv(network_address const& address, kv_export const& exported,
               network_address const& source, duration timeout);

} // namespace lagoonladder::daemon

#endif
