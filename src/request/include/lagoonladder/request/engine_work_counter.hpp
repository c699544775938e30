#ifndef LAGOONLADDER_REQUEST_ENGINE_WORK_COUNTER_HPP
#define LAGOONLADDER_REQUEST_ENGINE_WORK_COUNTER_HPP

#include <lagoonladder/base.hpp>
#include <lagoonladder/base/engine_work.hpp>
#include <lagoonladder/request/prompt_backlog.hpp>

namespace lagoonladder::request
{

/// Returns the time that the engine would spend on the uncached tokens of the prompt at its present
/// speed, without the prompts before it.
duration prefill_work(prompt_backlog const& backlog, time_point now, endpoint_id const& engine,
                      prompt_parts const& prompt);

/// Adds up the work that this entry gives to the engines of each service: seconds of prefill of the
/// prompts that it sends, and running requests. The load that it handles is the prompts of one
/// entry, from none to hundreds a second. Not safe for concurrent calls.
class engine_work_counter
{
public:
    /// Records that a prompt was sent which an engine prefills in the time `prefill`.
    void prompt_sent(time_point now, service_name const& service, duration prefill);
    void request_started(service_name const& service) { ++this->services[service].running; }
    /// To be called once for each started request.
    void request_ended(service_name const& service);

    /// Returns the work of all services that this entry has sent requests to.
    engine_work_by_service work(time_point now) const;

private:
    struct service_state
    {
        /// Decayed sums at `updated`, in seconds of prefill and in prompts.
        double prefill = 0;
        double prompts = 0;
        time_point updated{};
        std::uint32_t running = 0;
    };

    std::map<service_name, service_state> services;
};

} // namespace lagoonladder::request

#endif
