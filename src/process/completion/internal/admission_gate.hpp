#ifndef LAGOONLADDER_COMPLETION_ADMISSION_GATE_HPP
#define LAGOONLADDER_COMPLETION_ADMISSION_GATE_HPP

#include <functional>
#include <map>
#include <variant>

#include <lagoonladder/completion/problem.hpp>
#include <traffic_router.hpp>

namespace lagoonladder::completion
{

/// A completion that waits for admission.
struct admission_request
{
    request::queued_request queued;
    endpoint_query query;
};

/// The chosen endpoint, on which an attempt is already counted, or the refusal of a request
/// that was not executed.
using admission = std::variant<connection::endpoint_record, problem>;

/// Admits completions while an engine has a free slot and queues the others. Used on the
/// traffic thread only.
class admission_gate
{
public:
    using handler = std::function<void(admission const&)>;

    /// `on_queued` is called when a request begins to wait, so that the owner of the gate can call
    /// admit_waiting() in time.
    admission_gate(traffic_context& shared_context, traffic_router& endpoint_router,
                   std::function<void()> on_queued);

    /// Calls `done` when a slot is free, immediately if there is one, or when the request is
    /// refused.
    void enter(admission_request const& request, handler done);

    /// Whether any request is queued.
    bool has_waiters() const;

    /// Admits queued requests while slots are free. Must be called when a slot becomes free and
    /// every 20 ms.
    void admit_waiting();

    /// Updates the queue metrics and emits queue trend events. Must be called once a second.
    void observe();

private:
    struct waiter
    {
        admission_request request;
        handler done;
    };

    /// Result for one request. Its handler is called after all queues are updated, since the
    /// handler may enter further requests.
    struct decision
    {
        handler done;
        admission result;
    };

    /// Queue of one version of a service. Versions do not share slots.
    struct queue
    {
        explicit queue(request::admission_options const& options)
            : requests(options)
        {
        }
        request::admission_queue requests;
        std::map<request_id, waiter> waiters;
    };

    using queue_key = std::pair<service_name, version_name>;

    queue& queue_for(control_view const& view, endpoint_query const& query);
    void admit_from_queue(control_view const& view, queue_key const& key, queue& version_queue,
                          std::vector<decision>& decisions);
    /// Counts the refusal in the metrics and returns the response to it.
    problem make_refusal(admission_request const& request,
                         request::queue_refusal const& rejection) const;

    traffic_context& context;
    traffic_router& router;
    std::function<void()> notify_queued;
    std::map<queue_key, queue> queues;
};

} // namespace lagoonladder::completion

#endif
