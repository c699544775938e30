#ifndef LAGOONLADDER_PROXY_CALL_REPORT_HPP
#define LAGOONLADDER_PROXY_CALL_REPORT_HPP

#include "call_admission.hpp"
#include "endpoint_attempt.hpp"
#include "proxy_context.hpp"

namespace lagoonladder::proxy
{

/// Result of an admitted call, for its log line and metrics.
struct call_end
{
    std::string outcome;
    /// 0 when the caller got no complete response.
    unsigned status = 0;
    std::string reason;
    std::uint32_t attempts = 0;
    /// Endpoint of the last attempt; empty when there was none.
    endpoint_id endpoint;
    /// Estimated requests at the endpoint when it was chosen.
    double endpoint_load = 0;
    /// Prompt tokens that the engine had to process before the first output token; 0 for a call
    /// without a prompt.
    double prompt_ahead = 0;
    time_point arrived{};
    /// Default value when no byte was received.
    time_point first_byte{};
};

/// How an attempt that did not complete its call ended.
struct attempt_failure
{
    attempt_result result = attempt_result::broken;
    std::string reason;
    /// Complete events of a stream that were received in all attempts.
    std::size_t events = 0;
};

/// Counts an attempt that begins, by service, as the first or a repeated one. `earlier_attempts`
/// are those of the call that may have reached an endpoint.
void count_attempt(proxy_context& context, service_name const& service,
                   std::uint32_t earlier_attempts);

/// Logs an attempt that did not complete the call.
void report_failed_attempt(proxy_context& context, incoming_call const& call,
                           endpoint_attempt const& attempt, attempt_failure const& failure);

/// Logs an attempt whose endpoint sent nothing for `silence`. `is_repeated` says whether the call
/// is repeated at another endpoint, `has_other_endpoint` whether another one may be used.
void report_silence(proxy_context& context, incoming_call const& call,
                    endpoint_attempt const& attempt, duration silence, bool is_repeated,
                    bool has_other_endpoint);

/// Returns the outcome of an attempt for the comparison of versions. `first_byte` has its
/// default value when no byte was received.
version::traffic_sample make_sample(time_point now, traffic_view const& view,
                                    call_admission const& admitted, endpoint_attempt const& attempt,
                                    bool is_complete, time_point first_byte);

/// Counts an attempt as sent and, while the object exists, as open, for the comparison of
/// versions and for the work of the engines.
class open_attempt_counter
{
public:
    open_attempt_counter(proxy_context& shared, call_admission const& admitted,
                         connection::endpoint_record const& endpoint);
    ~open_attempt_counter();

    open_attempt_counter(open_attempt_counter const&) = delete;
    open_attempt_counter& operator=(open_attempt_counter const&) = delete;

private:
    proxy_context& context;
    version::traffic_sample sample;
};

/// Logs the end of a call and updates its metrics.
void report_end(proxy_context& context, incoming_call const& call, call_admission const& admitted,
                call_end const& end);

} // namespace lagoonladder::proxy

#endif
