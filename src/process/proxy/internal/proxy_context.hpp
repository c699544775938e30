#ifndef LAGOONLADDER_PROXY_PROXY_CONTEXT_HPP
#define LAGOONLADDER_PROXY_PROXY_CONTEXT_HPP

#include <map>

#include <lagoonladder/proxy/call_proxy.hpp>
#include <lagoonladder/request/engine_work_counter.hpp>

#include "crash_tracker.hpp"
#include "endpoint_chooser.hpp"
#include "overload_gate.hpp"
#include "service_budgets.hpp"

namespace lagoonladder::proxy
{

/// Limits the log lines of calls that succeeded; calls that failed are always logged.
class log_line_budget
{
public:
    static constexpr std::uint32_t lines_per_second = 100;

    /// Returns whether one more line may be written.
    bool take(time_point now)
    {
        if (now >= this->begin + seconds(1))
        {
            this->begin = now;
            this->used = 0;
        }
        return this->used++ < lines_per_second;
    }

private:
    time_point begin{};
    std::uint32_t used = 0;
};

/// State that all calls of the process share.
struct proxy_context
{
    proxy_context(call_proxy::dependencies const& injected, proxy_options const& settings);

    /// Returns the retry budget of a service at this entry.
    request::retry_budget& budget(service_name const& service);

    call_proxy::dependencies dependencies;
    proxy_options const options;
    seeded_random random;
    endpoint_chooser chooser;
    overload_gate overload;
    crash_tracker crashes;
    request::account_quota quotas;
    request::engine_work_counter engine_work;
    request::quota_borrowing borrowing;
    service_budgets budgets;
    time_point demand_published_at{};
    log_line_budget answered_call_lines;
    std::size_t open_calls = 0;
    std::map<class proxied_call const*, std::weak_ptr<proxied_call>> running_calls;
    /// Whether endpoints were cold when they were last observed.
    bool has_cold_endpoints = false;
    /// The time for a planned stop is over: no more calls are sent to endpoints.
    bool is_stopping = false;
};

} // namespace lagoonladder::proxy

#endif
