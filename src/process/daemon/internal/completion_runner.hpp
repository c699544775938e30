#ifndef LAGOONLADDER_DAEMON_COMPLETION_RUNNER_HPP
#define LAGOONLADDER_DAEMON_COMPLETION_RUNNER_HPP

#include <companion_link.hpp>
#include <engine_attempt.hpp>
#include <traffic_router.hpp>

namespace lagoonladder::daemon
{

class admission_gate;
class upstream_connections;
class worker_threads;

/// The parts that produce the answers of completions.
struct completion_parts
{
    traffic_context& context;
    completion_store& store;
    companion_link& companions;
    traffic_router& router;
    admission_gate& gate;
    upstream_connections& upstream;
    /// For calls that nobody waits for.
    worker_threads& background;
};

/// Produces the answer of one accepted completion, over as many attempts as it
/// takes. Runs on one thread.
class completion_runner
{
public:
    /// `resume_at` is the first token to generate.
    completion_runner(completion_parts const& shared, request::accepted_request accepted,
                      token_offset resume_at);

    /// Runs until the outcome is in the store. `first` is the endpoint that admission
    /// chose, on which an attempt is already counted.
    void run(std::optional<connection::endpoint_record> first);

private:
    struct attempt_state
    {
        connection::endpoint_record endpoint;
        attempt_id id;
        time_point started{};
        time_point last_token{};
        time_point last_check{};
        std::uint64_t tokens = 0;
        bool is_leaving = false;
        bool has_gap = false;
        version::traffic_sample sample;
    };

    bool is_past_deadline() const;
    std::optional<connection::endpoint_record> next_endpoint();
    /// False when the request is to be given up.
    bool try_endpoint(connection::endpoint_record const& endpoint);
    std::string attempt_body(attempt_state const& attempt, kv_export const& imported) const;
    kv_export move_cache(connection::endpoint_record const& to);
    void report_resume(attempt_state const& attempt, bool by_import);
    bool take_token(attempt_state& attempt, engine_event const& event, std::string_view data);
    bool may_continue(attempt_state& attempt);
    void end_attempt(attempt_state& attempt, attempt_result const& result);
    /// Whether another attempt is made.
    bool judge(attempt_state const& attempt, attempt_result const& result);
    void finish(request::request_outcome outcome);
    void fail(int status, std::string const& type, std::string const& detail);
    void back_off(std::uint32_t failures);

    completion_parts parts;
    request::accepted_request request;
    nlohmann::json body;
    version::service_config service;
    request::stream_assembly assembly;
    time_point deadline{};
    version_name version;
    std::uint32_t attempt_count = 0;
    /// Failures since the last new token.
    std::uint32_t failures = 0;
    std::vector<endpoint_id> excluded;
    /// KV cache that the latest attempt left behind on a leaving endpoint.
    kv_export exported;
    network_address cache_source;
};

} // namespace lagoonladder::daemon

#endif
