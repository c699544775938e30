#ifndef LAGOONLADDER_COMPLETION_COMPLETION_RUNNER_HPP
#define LAGOONLADDER_COMPLETION_COMPLETION_RUNNER_HPP

#include <companion_link.hpp>
#include <engine_attempt.hpp>
#include <traffic_router.hpp>

namespace lagoonladder::completion
{

class admission_gate;

/// Objects that are used to produce the answers of completions.
struct completion_dependencies
{
    traffic_context& context;
    completion_store& store;
    companion_link& companions;
    traffic_router& router;
    admission_gate& gate;
    endpoint_calls& calls;
};

/// Produces the answer of one accepted completion in one or more attempts. Used on the traffic
/// thread only; its timers and calls hold references to it until the outcome is in the store.
class completion_runner : public token_receiver,
                          public std::enable_shared_from_this<completion_runner>
{
public:
    /// `resume_at` is the offset of the first token to generate.
    completion_runner(completion_dependencies const& common_dependencies,
                      request::accepted_request accepted, token_offset resume_at,
                      std::shared_ptr<open_request> guard);

    /// `first` is the endpoint that admission chose, on which an attempt is already counted.
    void start(std::optional<connection::endpoint_record> const& first);

    void on_token(engine_event const& event, std::string_view data) override;
    void on_progress() override;
    void on_attempt_end(attempt_result const& result) override;

private:
    struct attempt_state
    {
        connection::endpoint_record endpoint;
        attempt_id id;
        /// Weak, because the attempt holds a reference to the runner.
        std::weak_ptr<engine_attempt> attempt;
        time_point started{};
        time_point last_token{};
        time_point last_check{};
        std::uint64_t tokens = 0;
        bool is_leaving = false;
        bool has_gap = false;
        version::traffic_sample sample;
    };

    void next_attempt();
    void run_later(duration delay);
    bool is_past_deadline() const;
    std::optional<connection::endpoint_record> next_endpoint();
    /// Lets the endpoint import the KV cache that was exported after the latest attempt, if any,
    /// then begins an attempt on it.
    void transfer_cache(connection::endpoint_record const& endpoint);
    void begin_attempt(connection::endpoint_record const& endpoint,
                       kv_export const& imported_cache);
    std::string attempt_body(kv_export const& imported_cache) const;
    void report_resume(bool is_cache_imported);
    /// Exports the KV cache of the attempt on a leaving endpoint, then stops the attempt.
    void leave_endpoint();
    void stop_attempt();
    void report_attempt_end(attempt_result const& result);
    /// Ends the request or prepares another attempt. Returns the delay before that attempt, or no
    /// value if there is none.
    std::optional<duration> handle_attempt_result(attempt_result const& result);
    /// Random delay, whose upper bound doubles with each failure until it reaches its maximum.
    duration back_off_delay();
    void finish(request::request_outcome outcome);
    void fail(unsigned status, std::string const& type, std::string const& detail);

    completion_dependencies dependencies;
    request::accepted_request request;
    nlohmann::json body;
    version::service_config service;
    request::stream_assembly assembly;
    time_point deadline{};
    version_name version;
    std::shared_ptr<open_request> const request_guard;
    attempt_state current;
    std::uint32_t attempt_count = 0;
    /// Failures since the last new token.
    std::uint32_t failures = 0;
    /// Endpoints that later attempts avoid; cleared when no other endpoint is available.
    std::vector<endpoint_id> excluded_endpoints;
    /// KV cache that a leaving endpoint exported for the latest attempt.
    kv_export exported_cache;
    network_address cache_source;
};

} // namespace lagoonladder::completion

#endif
