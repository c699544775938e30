#ifndef LAGOONLADDER_PROXY_PROXIED_CALL_HPP
#define LAGOONLADDER_PROXY_PROXIED_CALL_HPP

#include <memory>
#include <string>
#include <vector>

#include "answer_relay.hpp"
#include "call_admission.hpp"
#include "call_report.hpp"
#include "endpoint_attempt.hpp"
#include "proxy_context.hpp"

namespace lagoonladder::proxy
{

/// One admitted call from its arrival to its final answer: chooses endpoints, repeats
/// attempts where that is allowed and stops work that nobody waits for.
class proxied_call : public attempt_owner, public std::enable_shared_from_this<proxied_call>
{
public:
    proxied_call(std::shared_ptr<proxy_context> shared,
                 std::shared_ptr<http::server_exchange> received, incoming_call decoded,
                 admitted_call admission);
    ~proxied_call() override;

    proxied_call(proxied_call const&) = delete;
    proxied_call& operator=(proxied_call const&) = delete;

    void start();
    /// Answers the call with what is known at the end of a planned stop.
    void end_at_stop();

    void on_answer(endpoint_attempt& attempt, http::response_head const& head) override;
    void on_answer_bytes(endpoint_attempt& attempt, std::string_view bytes) override;
    void on_attempt_end(endpoint_attempt& attempt, attempt_result result,
                        std::string const& reason) override;

private:
    void try_next();
    std::optional<connection::endpoint_record> choose(std::vector<endpoint_id> const& excluded);
    void send(connection::endpoint_record const& endpoint);
    /// Counts the prompt at the engine and tells the other entries of it.
    void tell_prompt(connection::endpoint_record const& endpoint);
    /// Time without a byte after which another endpoint is tried; zero for none.
    duration patience() const;
    void set_timer();
    void on_timer();
    /// The endpoint sent nothing for `span`.
    void on_silence(duration span);
    void on_caller_gone();
    void on_drained();
    /// Stops the attempt without a judgement on its endpoint.
    void cancel_attempt();
    void end_attempt(attempt_result result, std::string const& reason);
    void decide_after(attempt_result result, std::string const& reason);
    bool may_repeat(attempt_result result);
    bool is_idempotent() const;
    void record_sample(endpoint_attempt const& attempt, attempt_result result);
    void count_start(endpoint_attempt const& attempt);
    void give_up(refusal reason, std::string const& detail);
    void finish(char const* outcome, unsigned status, std::string const& detail);
    version::pass_through_route const& route() const { return *this->admitted.route; }

    std::shared_ptr<proxy_context> context;
    std::shared_ptr<http::server_exchange> exchange;
    incoming_call const call;
    admitted_call const admitted;
    answer_relay relay;
    asio::steady_timer timer;
    std::shared_ptr<endpoint_attempt> current;
    /// Set as long as `current` is.
    std::optional<open_attempt> counted;
    std::vector<endpoint_id> tried;
    /// Attempts of which a byte was sent.
    std::uint32_t sends = 0;
    std::uint32_t unsent_tries = 0;
    /// Estimated requests at the endpoint when it was chosen last.
    double chosen_load = 0;
    /// Set while the call has a prompt and an attempt.
    std::optional<request::sent_prompt> sent;
    bool may_have_run = false;
    time_point last_byte{};
    /// When the attempt was last kept in spite of its silence.
    time_point silence_checked{};
    time_point first_byte{};
    bool is_paused = false;
    bool is_over = false;
};

} // namespace lagoonladder::proxy

#endif
