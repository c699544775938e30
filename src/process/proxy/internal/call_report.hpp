#ifndef LAGOONLADDER_PROXY_CALL_REPORT_HPP
#define LAGOONLADDER_PROXY_CALL_REPORT_HPP

#include "call_admission.hpp"
#include "endpoint_attempt.hpp"
#include "proxy_context.hpp"

namespace lagoonladder::proxy
{

/// How an admitted call ended.
struct call_end
{
    std::string outcome;
    /// 0 when the caller got no whole answer.
    unsigned status = 0;
    std::string reason;
    std::uint32_t attempts = 0;
    /// Of the last attempt; empty when there was none.
    endpoint_id endpoint;
    /// Requests that were expected at the endpoint when it was chosen.
    double endpoint_load = 0;
    /// Tokens that the engine had to read up to the first token; 0 without a prompt.
    double prompt_ahead = 0;
    time_point arrived{};
    /// Not set when no byte came.
    time_point first_byte{};
};

/// Writes the log line of an attempt without a good answer.
void report_failed_attempt(proxy_context& context, incoming_call const& call,
                           endpoint_attempt const& attempt, attempt_result result,
                           std::string const& reason);

/// Writes the log line of an attempt that sent nothing for `span`: whether the call moves to
/// another endpoint, and if not, whether there was one.
void report_silence(proxy_context& context, incoming_call const& call,
                    endpoint_attempt const& attempt, duration span, bool moves, bool has_other);

/// Outcome of an attempt for the comparison of versions. `first_byte` is not set when none came.
version::traffic_sample make_sample(time_point now, traffic_view const& view,
                                    admitted_call const& admitted, endpoint_attempt const& attempt,
                                    bool is_complete, time_point first_byte);

/// Counts an attempt as open, for the comparison of versions, as long as it lives.
class open_attempt
{
public:
    open_attempt(traffic_control& control, admitted_call const& admitted,
                 connection::endpoint_record const& endpoint);
    ~open_attempt();

    open_attempt(open_attempt const&) = delete;
    open_attempt& operator=(open_attempt const&) = delete;

private:
    traffic_control& control;
    version::traffic_sample sample;
};

/// Writes the log line and the metrics of a call.
void report_end(proxy_context& context, incoming_call const& call, admitted_call const& admitted,
                call_end const& end);

} // namespace lagoonladder::proxy

#endif
