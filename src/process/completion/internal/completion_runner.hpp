#ifndef LAGOONLADDER_COMPLETION_COMPLETION_RUNNER_HPP
#define LAGOONLADDER_COMPLETION_COMPLETION_RUNNER_HPP

#include <companion_link.hpp>
#include <engine_attempt.hpp>
#include <traffic_router.hpp>

namespace lagoonladder::completion
{

class admission_gate;

/// The parts that produce the answers of completions.
struct completion_parts
{
    traffic_context& context;
    completion_store& store;
    companion_link& companions;
    traffic_router& router;
    admission_gate& gate;
    endpoint_calls& calls;
};

/// Produces the answer of one accepted completion, over as many attempts as it takes.
/// Lives on the traffic thread; its timers and calls keep it until the outcome is in the
/// store.
class completion_runner : public token_receiver,
                          public std::enable_shared_from_this<completion_runner>
{
public:
    /// `resume_at` is the first token to generate.
    completion_runner(completion_parts const& shared, request::accepted_request accepted,
                      token_offset resume_at, std::shared_ptr<open_request> open);

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
        /// Weak, since the attempt keeps the runner.
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
    /// Copies the KV cache that the latest attempt left behind, then begins an attempt.
    void move_cache(connection::endpoint_record const& to);
    void begin_attempt(connection::endpoint_record const& endpoint, kv_export const& imported);
    std::string attempt_body(kv_export const& imported) const;
    void report_resume(bool by_import);
    void leave_endpoint();
    void stop_attempt();
    void report_attempt_end(attempt_result const& result);
    /// Whether another attempt is made, and after which delay.
    std::optional<duration> judge(attempt_result const& result);
    duration back_off();
    void finish(request::request_outcome outcome);
    void fail(unsigned status, std::string const& type, std::string const& detail);

    completion_parts parts;
    request::accepted_request request;
    nlohmann::json body;
    version::service_config service;
    request::stream_assembly assembly;
    time_point deadline{};
    version_name version;
    std::shared_ptr<open_request> const counted;
    attempt_state current;
    std::uint32_t attempt_count = 0;
    /// Failures since the last new token.
    std::uint32_t failures = 0;
    std::vector<endpoint_id> excluded;
    /// KV cache that the latest attempt left behind on a leaving endpoint.
    kv_export exported;
    network_address cache_source;
};

} // namespace lagoonladder::completion

#endif
