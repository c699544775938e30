#ifndef LAGOONLADDER_PROXY_PROXY_CONTEXT_HPP
#define LAGOONLADDER_PROXY_PROXY_CONTEXT_HPP

#include <map>

#include <lagoonladder/proxy/call_proxy.hpp>

#include "endpoint_chooser.hpp"

namespace lagoonladder::proxy
{

/// Bounds the log lines of calls that were answered; those of others are always written.
class line_budget
{
public:
    static constexpr std::uint32_t lines_per_second = 100;

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

/// What all calls of the process share.
struct proxy_context
{
    proxy_context(call_proxy::dependencies const& parts, proxy_options const& settings);

    /// Retry budget of a service; this entry has an equal part of what all may save up.
    request::retry_budget& budget(service_name const& service, std::uint32_t entries);

    call_proxy::dependencies parts;
    proxy_options const options;
    seeded_random random;
    endpoint_chooser chooser;
    request::account_quota quotas;
    request::quota_borrowing borrowing;
    std::map<service_name, request::retry_budget> budgets;
    time_point demand_told{};
    line_budget answered_lines;
    std::size_t open_calls = 0;
    std::map<class proxied_call const*, std::weak_ptr<proxied_call>> running;
    /// Calls are not sent to endpoints any more.
    bool is_ending = false;
};

} // namespace lagoonladder::proxy

#endif
