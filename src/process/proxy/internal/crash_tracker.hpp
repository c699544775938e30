#ifndef LAGOONLADDER_PROXY_CRASH_TRACKER_HPP
#define LAGOONLADDER_PROXY_CRASH_TRACKER_HPP

#include <lagoonladder/proxy/call.hpp>
#include <lagoonladder/proxy/call_proxy.hpp>

namespace lagoonladder::proxy
{

/// Finds the parts of prompts that crash engines, together with the other entries, and decides
/// which calls are refused because of them.
class crash_tracker
{
public:
    explicit crash_tracker(call_proxy::dependencies const& injected);

    /// Whether the call has a quarantined part and may not be sent to an engine.
    bool is_refused(time_point now, traffic_view const& view, incoming_call const& call);
    /// Whether is_refused() would refuse the call. Changes nothing.
    bool would_refuse(time_point now, traffic_view const& view, incoming_call const& call) const;
    /// Whether engines crashed on a part of the prompt one after another, so that the call is not
    /// to be repeated.
    bool is_suspected(time_point now, incoming_call const& call) const;

    /// Records that an engine, to which the call was sent at `sent_at`, ended before it had begun
    /// its answer without harm.
    void record_crash(time_point now, incoming_call const& call, endpoint_id const& engine,
                      time_point sent_at);
    /// Records that an engine has answered the call, or begun to, without harm.
    void record_answer(time_point now, incoming_call const& call);
    /// Adds evidence from another entry.
    void merge(time_point now, std::vector<request::part_evidence> const& evidence);
    /// Sends evidence to some other entries, when it is time.
    void tick(time_point now);

private:
    /// Sends evidence to all other entries, unless that was done just before; take_evidence() then
    /// brings it to some of them.
    void broadcast(time_point now, std::vector<request::part_evidence> const& evidence);
    void log_quarantined(std::vector<std::uint64_t> const& parts);

    call_proxy::dependencies dependencies;
    request::prompt_quarantine quarantine;
    std::uint64_t next_crash_number;
    time_point next_broadcast{};
    time_point next_exchange{};
};

} // namespace lagoonladder::proxy

#endif
