#include <lagoonladder/completion/traffic_context.hpp>

namespace lagoonladder::completion
{

void run_later(asio::io_context& loop, duration delay, std::function<void()> action)
{
    auto const timer = std::make_shared<asio::steady_timer>(loop, delay);
    timer->async_wait(
        [timer, action = std::move(action)](asio::error_code const& cancelled)
        {
            // Set when the wait was cancelled or failed.
            if (!cancelled)
                action();
        });
}

} // namespace lagoonladder::completion
