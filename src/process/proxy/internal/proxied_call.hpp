#ifndef LAGOONLADDER_PROXY_PROXIED_CALL_HPP
#define LAGOONLADDER_PROXY_PROXIED_CALL_HPP

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "answer_relay.hpp"
#include "call_admission.hpp"
#include "call_report.hpp"
#include "endpoint_attempt.hpp"
#include "proxy_context.hpp"

namespace lagoonladder::proxy
{

/// An admitted call from its arrival to its final response: chooses endpoints, repeats attempts
/// where that is allowed, and cancels the attempt when the caller disconnects.
class proxied_call : public attempt_owner, public std::enable_shared_from_this<proxied_call>
{
public:
    proxied_call(std::shared_ptr<proxy_context> shared,
                 std::shared_ptr<http::server_exchange> received, incoming_call decoded,
                 call_admission admission);
    ~proxied_call() override;

    proxied_call(proxied_call const&) = delete;
    proxied_call& operator=(proxied_call const&) = delete;

    void start();
    /// Ends the call at the end of a planned stop; the response states whether the call may have
    /// been executed.
    void end_at_stop();

    /// Sends the call elsewhere if it waits for a connection to an endpoint in one of the data
    /// centres, so that nothing was sent yet.
    void leave(std::set<data_centre_id> const& evacuated);

    void on_answer(endpoint_attempt& attempt, http::response_head const& head) override;
    void on_answer_bytes(endpoint_attempt& attempt, std::string_view bytes) override;
    void on_attempt_end(endpoint_attempt& attempt, attempt_result result,
                        std::string const& reason) override;

private:
    void try_next();
    std::optional<connection::endpoint_record> choose(std::vector<endpoint_id> const& excluded);
    std::string describe_missing_endpoint() const;
    void send(connection::endpoint_record const& endpoint);
    /// Counts the prompt at the engine and notifies the other entries of it.
    void broadcast_prompt(connection::endpoint_record const& endpoint);
    /// Returns the time without a byte after which another endpoint is tried; zero when the call
    /// may not be repeated.
    duration silence_timeout() const;
    void set_timer();
    void on_timer();
    /// Repeats the call at another endpoint, if that is possible, after `silence` without a byte.
    void on_silence(duration silence);
    void on_caller_disconnected();
    void on_drained();
    /// Returns the head with which an endpoint's answer is sent to the caller. Of an at-most-once
    /// call it never states that the call was not executed.
    http::response_head make_relayed_head(http::response_head const& answer) const;
    /// Returns the reason of an answer that was relayed, for the log.
    std::string describe_answer(endpoint_attempt const& attempt, std::string const& reason) const;
    /// Cancels the attempt without recording an outcome for its endpoint.
    void cancel_attempt();
    /// Ends the current attempt and records its outcome.
    void end_attempt(attempt_result result, std::string const& reason);
    /// Repeats the call after an attempt that did not complete it, or ends it with a failure.
    void retry_or_fail(attempt_result result, std::string const& reason);
    /// Returns whether the call may be sent again after `result`, and if so, takes one retry from
    /// the budget.
    bool try_acquire_retry(attempt_result result);
    bool is_idempotent() const;
    /// Counts and records the first bytes of an engine's stream.
    void on_stream_begun(endpoint_attempt& attempt, time_point now);
    void record_sample(endpoint_attempt const& attempt, attempt_result result);
    /// Records a complete answer to the prompt, or an engine that ended while it answered it.
    void record_prompt_outcome(endpoint_attempt const& attempt, attempt_result result);
    /// Records that the engine of the present attempt has begun its answer without harm.
    void record_prompt_progress(time_point now);
    /// Counts the request towards the usage of its account.
    void count_usage();
    /// Ends the call with this entry's own response, or by closing the connection when a part of an
    /// endpoint's response has been sent. Where the response allows a retry, it states
    /// `retry_after`, or a default without it.
    void give_up(refusal reason, std::string const& detail,
                 std::optional<duration> retry_after = std::nullopt);
    /// Ends the call because no endpoint may get it now.
    void give_up_without_endpoint();
    /// Default of the time after which a caller whose call was not executed may retry.
    duration default_retry_after();
    void finish(char const* outcome, unsigned status, std::string const& detail);
    /// Corrects the count of the admission under overload when the call was not served.
    void record_served(unsigned status);
    version::pass_through_route const& route() const { return *this->admitted.route; }

    std::shared_ptr<proxy_context> context;
    std::shared_ptr<http::server_exchange> exchange;
    incoming_call const call;
    call_admission const admitted;
    answer_relay relay;
    asio::steady_timer timer;
    std::shared_ptr<endpoint_attempt> current_attempt;
    /// Set while `current_attempt` is.
    std::optional<open_attempt_counter> open_counter;
    std::vector<endpoint_id> tried_endpoints;
    /// Attempts of which at least one byte was sent.
    std::uint32_t sent_attempts = 0;
    std::uint32_t unsent_attempts = 0;
    /// Estimated requests at the endpoint of the last attempt when it was chosen.
    double load_when_chosen = 0;
    /// The prompt as counted at the engine of the last attempt; not set without a prompt.
    std::optional<request::sent_prompt> counted_prompt;
    bool may_have_run = false;
    /// Events that were received before the present attempt.
    std::size_t events_before_attempt = 0;
    /// The engine of the present attempt has begun its answer and did not end.
    bool is_prompt_harmless = false;
    /// When the attempt was sent, or last received bytes, or in a stream a complete event.
    time_point last_progress{};
    /// When it was last decided to continue the attempt although its endpoint is silent.
    time_point kept_despite_silence_at{};
    time_point first_byte{};
    /// The endpoint's response is not read, since the caller reads too slowly.
    bool is_paused = false;
    bool is_over = false;
    bool is_caller_disconnected = false;
    /// An attempt's outcome has been counted for the comparison of versions.
    bool is_outcome_recorded = false;
};

} // namespace lagoonladder::proxy

#endif
