#ifndef LAGOONLADDER_CONTROL_LOG_THREAD_HPP
#define LAGOONLADDER_CONTROL_LOG_THREAD_HPP

#include <exception>
#include <functional>
#include <memory>

#include <asio.hpp>

#include "telemetry.hpp"

namespace lagoonladder::control
{

/// Uses the log store of a voter on a thread of its own. A disk can take seconds for a sync, in
/// which the control thread has to go on with heartbeats, gossip and the publication of views.
class log_thread
{
public:
    /// Called on the control thread with the exception that the task ended with, or null.
    using handler = std::function<void(std::exception_ptr const&)>;

    /// `io`: event loop of the control thread.
    log_thread(std::shared_ptr<asio::io_context> io, telemetry const& sinks);
    /// Waits for the task in progress. Its handler is not called any more if the event loop has
    /// stopped.
    ~log_thread();

    /// Runs a task that uses the log store. Not to be called while one is in progress.
    void run(std::function<void()> task, handler done);

    /// Whether a task is in progress; the log store must not be used meanwhile.
    bool is_busy() const { return this->busy; }

private:
    void record_duration(duration elapsed);

    std::shared_ptr<asio::io_context> context;
    event_sink& events;
    observability::metrics& metrics;
    clock const& time;
    observability::log_rate_limiter slow_log_limit{seconds(1)};
    bool busy = false;
    asio::thread_pool worker{1};
};

} // namespace lagoonladder::control

#endif
