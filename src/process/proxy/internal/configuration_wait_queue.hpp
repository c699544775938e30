#ifndef LAGOONLADDER_PROXY_CONFIGURATION_WAIT_QUEUE_HPP
#define LAGOONLADDER_PROXY_CONFIGURATION_WAIT_QUEUE_HPP

#include <functional>
#include <memory>
#include <vector>

#include <asio.hpp>

#include <lagoonladder/http.hpp>

namespace lagoonladder::proxy
{

/// Queue of calls that wait for a configuration which this entry has not read yet: the first one
/// after its start, or a newer one that it has been notified of. The entry usually has read it
/// within a fraction of a second, whereas a refusal would cost the caller a longer pause and one of
/// its few retries. To be used on its event loop only.
class configuration_wait_queue
{
public:
    /// Further calls are refused at once, which limits the memory of waiting calls.
    static constexpr std::size_t max_waiting = 200;
    static constexpr duration max_wait = seconds(1);

    using handler = std::function<void(std::shared_ptr<http::server_exchange> const&)>;

    using condition = std::function<bool()>;

    /// `resume_handler` receives each call when its condition holds or its maximum wait is over.
    configuration_wait_queue(asio::io_context& context, clock const& clock_source,
                             handler resume_handler);

    /// Queues the call until `can_resume` holds. Returns false when the call has waited before or
    /// the queue is full.
    bool wait(std::shared_ptr<http::server_exchange> const& exchange, duration time_left,
              condition can_resume);

    /// Resumes all waiting calls at once.
    void release();

    std::size_t size() const { return this->waiting.size(); }

private:
    struct waiting_call
    {
        std::shared_ptr<http::server_exchange> exchange;
        time_point deadline{};
        condition can_resume;
        std::shared_ptr<bool> is_disconnected;
    };

    void schedule();
    void check();
    void resume(waiting_call const& call);

    clock const& time;
    handler const resume_call;
    asio::steady_timer timer;
    std::vector<waiting_call> waiting;
    /// The call that is being resumed; it may not wait a second time.
    http::server_exchange const* resuming = nullptr;
};

} // namespace lagoonladder::proxy

#endif
