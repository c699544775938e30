#ifndef LAGOONLADDER_COMPLETION_TRAFFIC_CONTEXT_HPP
#define LAGOONLADDER_COMPLETION_TRAFFIC_CONTEXT_HPP

#include <atomic>
#include <functional>
#include <memory>
#include <utility>

#include <asio.hpp>

#include <lagoonladder/control.hpp>
#include <lagoonladder/observability.hpp>

namespace lagoonladder::completion
{

using config::settings;
using control::control_plane;
using control::control_view;
using control::find_status;
using control::peer_channels;
using control::proposal_outcome;
using control::proposal_status;

using open_request_count = std::atomic<std::uint32_t>;

/// Objects that all components of the completion server share. The referenced objects outlive
/// the components.
struct traffic_context
{
    settings const& config;
    control_plane& control;
    event_sink& events;
    observability::metrics& metrics;
    clock const& time;
    /// Event loop of the traffic thread.
    std::shared_ptr<asio::io_context> loop;
    /// Number of requests in progress. Shared, because a request may end after the server was
    /// stopped.
    std::shared_ptr<open_request_count> open_requests = std::make_shared<open_request_count>(0);
};

/// Counts a request as open as long as this object exists.
class open_request
{
public:
    explicit open_request(traffic_context const& context)
        : count(context.open_requests)
    {
        ++*this->count;
    }
    ~open_request() { --*this->count; }
    open_request(open_request const&) = delete;
    open_request& operator=(open_request const&) = delete;

private:
    std::shared_ptr<open_request_count> count;
};

/// Runs `action` on the event loop after the delay.
void run_later(asio::io_context& loop, duration delay, std::function<void()> action);

/// Wraps a handler so that it runs on the event loop, whichever thread calls the wrapper. The
/// wrapper keeps the event loop alive and destroys the handler before it releases the loop.
template <class... Arguments>
std::function<void(Arguments...)> on_loop(std::shared_ptr<asio::io_context> loop,
                                          std::function<void(Arguments...)> handler)
{
    struct loop_handler
    {
        std::shared_ptr<asio::io_context> loop;
        std::function<void(Arguments...)> handler;

        void operator()(Arguments... arguments) const
        {
            asio::post(*this->loop,
                       [action = this->handler, ... values = std::decay_t<Arguments>(arguments)]
                       { action(values...); });
        }
    };
    return loop_handler{std::move(loop), std::move(handler)};
}

} // namespace lagoonladder::completion

#endif
