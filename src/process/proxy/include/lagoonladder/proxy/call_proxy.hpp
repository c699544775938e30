#ifndef LAGOONLADDER_PROXY_CALL_PROXY_HPP
#define LAGOONLADDER_PROXY_CALL_PROXY_HPP

#include <memory>

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <lagoonladder/http.hpp>
#include <lagoonladder/observability.hpp>
#include <lagoonladder/proxy/call.hpp>
#include <lagoonladder/proxy/placement_query.hpp>
#include <lagoonladder/proxy/traffic_control.hpp>

namespace lagoonladder::proxy
{

/// By how much the tokens of an account's requests may exceed its quota within a window.
struct quota_tolerance
{
    duration window{};
    /// Fraction of the tokens that the quota allows in the window.
    double overshoot = 0;
    /// Tokens allowed in addition to that fraction.
    double tokens = 0;
};

struct proxy_options
{
    /// Retries of a service per first attempt.
    double retry_share = 0.15;
    /// Retries of a service that all entries together may accumulate.
    double retry_burst = 40;
    quota_tolerance quota;
    /// Window over which the retries of all entries are limited.
    duration retry_window = seconds(10);
    request::endpoint_pace_options pace{};
    /// Refuse calls of model services by priority and fairness while the engines have too little
    /// room.
    bool has_overload_admission = false;
    /// State the work that is given to engines to the entry that orders them.
    bool states_engine_work = false;
};

/// Passes calls through to endpoints. To be used on its event loop only.
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
        /// Start of the process. The tokens of quotas accrue from then on.
        time_point process_start{};
    };

    call_proxy(dependencies const& injected, proxy_options const& options);
    ~call_proxy() override;

    void handle(std::shared_ptr<http::server_exchange> const& exchange) override;

    /// Completes the response to a call that the server rejects: states that the call was not
    /// executed and after which time the caller may retry.
    std::string rejection_body(http::response_head& head, std::string const& reason) override;

    /// Ends all open calls with a response, when the time for a planned stop is over.
    void end_calls();

    /// To be called several times a second: publishes the demand of the accounts, also while there
    /// are no calls, takes the endpoints into account, and exchanges evidence with other entries.
    void tick();

    /// Lends tokens of the account's quota to another entry. A negative number returns tokens that
    /// this entry lent.
    request::lender_reply lend_tokens(account_id const& account, double wanted);
    /// Adds tokens that another entry lent too late, when the call had already continued without
    /// them.
    void deposit_tokens(account_id const& account, double tokens);

    /// Records a prompt that another entry has sent to an engine.
    void on_prompt_notice(prompt_notice const& notice);
    /// Adds evidence of another entry on parts of prompts that crash engines.
    void on_crash_evidence(std::vector<request::part_evidence> const& evidence);

    /// Explains where the call would be sent now, and why, as JSON. Sends and changes nothing.
    /// Throws unknown_placement for a route or account that does not exist.
    nlohmann::json explain(placement_query const& query) const;

    /// Number of calls without a complete response.
    std::size_t open_calls() const;

private:
    /// Whether other entries may be asked for the tokens that the call lacks.
    bool may_borrow(time_point now, traffic_view const& view,
                    struct call_admission const& admission) const;
    /// Borrows the tokens that a call refused by its quota lacks, then decides on it again.
    void borrow(std::shared_ptr<http::server_exchange> const& exchange, incoming_call call,
                struct call_admission const& refused);
    /// Sends the call to an endpoint, or refuses it when `admission` has a reason.
    void start(std::shared_ptr<http::server_exchange> const& exchange, incoming_call call,
               struct call_admission admission);
    /// Refuses the call when the engines have too little room for it, and puts its tokens back.
    void check_capacity(time_point now, traffic_view const& view, incoming_call const& call,
                        struct call_admission& admission);
    /// Makes the call wait for a configuration newer than that of `refusing_view`, with which it
    /// was refused. Returns false when the call may not wait.
    bool wait_for_configuration(std::shared_ptr<http::server_exchange> const& exchange,
                                incoming_call const& call, traffic_view const& refusing_view);
    void publish_demand(time_point now);
    /// Work of the engine services, empty when it is not to be stated.
    engine_work_by_service find_engine_work(time_point now) const;
    void observe_endpoints(time_point now);

    std::shared_ptr<struct proxy_context> context;
    std::unique_ptr<class configuration_wait_queue> wait_queue;
};

} // namespace lagoonladder::proxy

#endif
