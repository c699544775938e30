#ifndef LAGOONLADDER_COMPLETION_ADMISSION_GATE_HPP
#define LAGOONLADDER_COMPLETION_ADMISSION_GATE_HPP

#include <functional>
#include <map>
#include <variant>

#include <lagoonladder/completion/traffic_problem.hpp>
#include <traffic_router.hpp>

namespace lagoonladder::completion
{

/// A completion that asks to be admitted.
struct admission_request
{
    request::queued_request queued;
    endpoint_query query;
};

/// The endpoint on which an attempt is counted, or the refusal of a request that was not
/// executed.
using admission = std::variant<connection::endpoint_record, problem>;

/// Lets completions pass while an engine has a free slot and queues the others. Used on
/// the traffic thread.
class admission_gate
{
public:
    admission_gate(traffic_context& shared, traffic_router& choice);

    using handler = std::function<void(admission const&)>;

    /// `done` is called when a slot is free, at once if one is, or when the request is
    /// given up.
    void enter(admission_request const& request, handler done);

    /// Whether requests wait.
    bool has_waiters() const;

    /// Admits requests whose turn it is. Call when a slot became free and every 20 ms.
    void pump();

    /// Exports queue metrics and trend events. Call once a second.
    void observe();

private:
    struct waiter
    {
        admission_request request;
        handler done;
    };

    /// A decision whose handler is called when the queues are consistent again.
    struct decision
    {
        handler done;
        admission result;
    };

    /// Requests of one version of a service; its slots are its own.
    struct queue
    {
        explicit queue(request::admission_options const& options)
            : waiting(options)
        {
        }
        request::admission_queue waiting;
        std::map<request_id, waiter> waiters;
    };

    using queue_key = std::pair<service_name, version_name>;

    queue& queue_for(control_view const& view, endpoint_query const& query);
    void decide(control_view const& view, queue_key const& key, queue& known,
                std::vector<decision>& decisions);
    problem refuse(admission_request const& request, request::refused const& given_up) const;

    traffic_context& context;
    traffic_router& router;
    std::map<queue_key, queue> queues;
};

} // namespace lagoonladder::completion

#endif
