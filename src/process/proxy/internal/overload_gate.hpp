#ifndef LAGOONLADDER_PROXY_OVERLOAD_GATE_HPP
#define LAGOONLADDER_PROXY_OVERLOAD_GATE_HPP

#include <map>
#include <optional>

#include <lagoonladder/observability.hpp>
#include <lagoonladder/proxy/call_proxy.hpp>

#include "call_admission.hpp"
#include "endpoint_chooser.hpp"

namespace lagoonladder::proxy
{

/// Asks request::overload_admission whether calls of model services are sent while the engines have
/// too little room, and reports its decisions. Does nothing unless the settings switch it on.
class overload_gate
{
public:
    overload_gate(call_proxy::dependencies const& injected, bool is_on);

    /// Copies the state of another gate, so that check() can be asked without changing that one.
    overload_gate(overload_gate const& original, event_sink& sink,
                  observability::metrics& counters);

    /// Returns the load by which calls of the service were decided on last; nullptr without one.
    request::service_load const* last_load(service_name const& service) const;

    /// Decides on a call that is admitted otherwise. Sets the reason of the refusal, if any, and
    /// the time to retry after.
    void check(time_point now, traffic_view const& view, incoming_call const& call,
               endpoint_chooser const& chooser, random_source& random, call_admission& admission);

    /// Takes back a call that was to be sent and is refused for a reason other than the load, or
    /// whose caller left before its answer began.
    void withdraw(time_point now, call_admission const& admission);

    /// Records that a call that was sent has not been served.
    void record_failure(time_point now, call_admission const& admission);

    /// Records the time that a complete call took at its engine.
    void call_ended(service_name const& service, duration elapsed);

    /// Spreads the time after which the caller of a call that is refused for another reason may
    /// retry. Returns `wait` unless the gate is on and the call is one of a model service.
    duration spread_retry(time_point now, call_admission const& admission,
                          request::call_regions const& regions, duration wait,
                          random_source& random);

private:
    /// Load of the engines that a group of calls may be sent to.
    struct group_load
    {
        request::service_load load;
        /// Engine at which the next prompt is processed first.
        endpoint_id least_busy;
        time_point updated{};
    };

    struct service_state
    {
        request::overload_admission decisions;
        /// Moving average of the time that a call takes at its engine.
        duration call_time = seconds(1);
        /// By the regions of the call, and by whether a running move assigns it to the candidate
        /// version.
        std::map<std::pair<request::call_regions, bool>, group_load> loads;
        /// Load by which the last call was decided on; no value before the first one.
        std::optional<request::service_load> last_load;
        /// Time of the last refusal; no value unless one happened recently.
        std::optional<time_point> last_refusal;
    };

    /// Returns the state of the service; nullptr when the gate does not concern it.
    service_state* find_state(call_admission const& admission);
    /// Returns the load of the engines that the call may be sent to, which is at most a load
    /// interval old.
    group_load const& find_load(time_point now, traffic_view const& view, incoming_call const& call,
                                call_admission const& admission, endpoint_chooser const& chooser,
                                service_state& state) const;
    group_load sum_load(time_point now, traffic_view const& view, incoming_call const& call,
                        call_admission const& admission, endpoint_chooser const& chooser,
                        duration call_time) const;
    void report(time_point now, service_name const& service, service_state& state,
                request::service_load const& load, request::overload_decision const& decision);

    event_sink& events;
    observability::metrics& metrics;
    bool const is_on;
    std::map<service_name, service_state> services;
};

} // namespace lagoonladder::proxy

#endif
