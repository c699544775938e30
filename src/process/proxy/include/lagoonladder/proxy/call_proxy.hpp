#ifndef LAGOONLADDER_PROXY_CALL_PROXY_HPP
#define LAGOONLADDER_PROXY_CALL_PROXY_HPP

#include <memory>

#include <asio.hpp>

#include <lagoonladder/http.hpp>
#include <lagoonladder/observability.hpp>
#include <lagoonladder/proxy/call.hpp>
#include <lagoonladder/proxy/traffic_control.hpp>

namespace lagoonladder::proxy
{

/// By how much the requests of an account may exceed its quota over a span.
struct quota_tolerance
{
    duration span{};
    /// Part of what the quota allows in the span.
    double overshoot = 0;
    double tokens = 0;
};

struct proxy_options
{
    /// Retries of a service as a share of its first attempts.
    double retry_share = 0.15;
    /// Retries of a service that all entries together may save up.
    double retry_burst = 40;
    quota_tolerance quota;
};

/// Passes calls through to endpoints. Used on its event loop only.
class call_proxy : public http::request_handler
{
public:
    struct dependencies
    {
        asio::io_context& context;
        http::client& client;
        call_codec const& codec;
        traffic_control& control;
        event_sink& events;
        observability::metrics& metrics;
        clock const& time;
        std::uint64_t seed = 0;
    };

    call_proxy(dependencies const& parts, proxy_options const& options);
    ~call_proxy() override;

    void handle(std::shared_ptr<http::server_exchange> const& exchange) override;

    /// The answer states that the call has not run and when its caller should come back.
    std::string rejection_body(http::response_head& head, std::string const& reason) override;

    /// Answers all open calls now, at the end of the time for a planned stop.
    void end_calls();

    /// To be called some times a second: tells the accounts' demand, also without calls.
    void tick();

    /// Gives tokens of the account's quota away to another entry.
    request::lender_reply lend_tokens(account_id const& account, double wanted);
    /// Takes tokens that another entry gave away after the call had gone on without them.
    void deposit_tokens(account_id const& account, double tokens);

    /// Another entry has sent a prompt to an engine.
    void on_prompt_notice(prompt_notice const& news);

    /// Calls without a complete answer.
    std::size_t open_calls() const;

private:
    void borrow(std::shared_ptr<http::server_exchange> const& exchange, incoming_call call,
                struct admitted_call const& refused);
    void start(std::shared_ptr<http::server_exchange> const& exchange, incoming_call call,
               struct admitted_call admitted);
    /// Whether the call waits for a configuration that `seen` does not have yet.
    bool wait_for_configuration(std::shared_ptr<http::server_exchange> const& exchange,
                                incoming_call const& call, traffic_view const& seen);
    void tell_demand(time_point now);

    std::shared_ptr<struct proxy_context> context;
    std::unique_ptr<class configuration_wait_queue> early;
};

} // namespace lagoonladder::proxy

#endif
