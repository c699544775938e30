#ifndef LAGOONLADDER_PROXY_SERVICE_BUDGETS_HPP
#define LAGOONLADDER_PROXY_SERVICE_BUDGETS_HPP

#include <map>

#include <lagoonladder/request.hpp>

namespace lagoonladder::proxy
{

struct service_budget_options
{
    /// Retries of a service per first attempt.
    double share = 0.15;
    /// Retries of a service that all entries together may accumulate.
    double burst = 40;
    /// Window over which the retries of all entries are limited.
    duration window = seconds(10);
};

/// Retry budgets of the services at this entry. The burst of a service is divided equally among the
/// entries, anew whenever their number changes. A process that starts has no burst for one window:
/// the process before it may have spent it, and those retries still count. Not thread-safe.
class service_budgets
{
public:
    service_budgets(service_budget_options const& initial, time_point process_start);

    /// Returns the budget of a service in a system of `entries` entries.
    request::retry_budget& budget(time_point now, service_name const& service,
                                  std::uint32_t entries);

private:
    struct service_state
    {
        request::retry_budget budget;
        bool has_burst = false;
    };

    service_state make_state(double burst) const;

    service_budget_options options;
    time_point started;
    std::map<service_name, service_state> services;
};

} // namespace lagoonladder::proxy

#endif
