#ifndef LAGOONLADDER_DAEMON_ADMISSION_GATE_HPP
#define LAGOONLADDER_DAEMON_ADMISSION_GATE_HPP

#include <condition_variable>
#include <map>
#include <mutex>

#include <traffic_problem.hpp>
#include <traffic_router.hpp>

namespace lagoonladder::daemon
{

/// A completion that asks to be admitted.
struct admission_request
{
    request::queued_request queued;
    endpoint_query query;
};

/// Lets completions pass while an engine has a free slot and queues the others.
/// Safe to call from any thread.
class admission_gate
{
public:
    admission_gate(traffic_context& shared, traffic_router& choice);

    /// Waits for a free slot and returns the endpoint, on which an attempt is counted.
    /// Throws refusal as soon as the request is given up; it was not executed then.
    connection::endpoint_record enter(admission_request const& request);

    /// Admits requests whose turn it is. Call when a slot became free and every 20 ms.
    void pump();

    /// Exports queue metrics and trend events. Call once a second.
    void observe();

private:
    struct waiter
    {
        admission_request const* request = nullptr;
        std::condition_variable decided;
        std::optional<connection::endpoint_record> endpoint;
        std::optional<request::refused> refused;
    };

    /// Requests of one version of a service; its slots are its own.
    struct queue
    {
        explicit queue(request::admission_options const& options)
            : waiting(options)
        {
        }
        request::admission_queue waiting;
        std::map<request_id, waiter*> waiters;
    };

    using queue_key = std::pair<service_name, version_name>;

    queue& queue_for(control_view const& view, endpoint_query const& query);
    void pump(control_view const& view, queue_key const& key, queue& known);
    connection::endpoint_record wait(std::unique_lock<std::mutex>& lock, queue& known, waiter& own,
                                     request::queued const& place);
    problem refuse(admission_request const& request, request::refused const& given_up) const;

    traffic_context& context;
    traffic_router& router;
    std::mutex mutex;
    std::map<queue_key, queue> queues;
};

} // namespace lagoonladder::daemon

#endif
