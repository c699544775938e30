#include "configuration_wait_queue.hpp"

#include <algorithm>
#include <utility>

namespace lagoonladder::proxy
{

namespace
{

constexpr duration check_interval = milliseconds(10);
/// A call waits for at most the caller's time left divided by this, so that the caller has time
/// for a retry after a refusal.
constexpr int time_left_divisor = 3;

} // namespace

configuration_wait_queue::configuration_wait_queue(asio::io_context& context,
                                                   clock const& clock_source,
                                                   handler resume_handler)
    : time(clock_source)
    , resume_call(std::move(resume_handler))
    , timer(context)
{
}

bool configuration_wait_queue::wait(std::shared_ptr<http::server_exchange> const& exchange,
                                    duration time_left, condition can_resume)
{
    if (exchange.get() == this->resuming || this->waiting.size() >= max_waiting)
        return false;
    auto const wait_limit = std::min<duration>(max_wait, time_left / time_left_divisor);
    auto const is_disconnected = std::make_shared<bool>(false);
    exchange->on_closed([is_disconnected] { *is_disconnected = true; });
    this->waiting.push_back(
        {exchange, exchange->arrived() + wait_limit, std::move(can_resume), is_disconnected});
    if (this->waiting.size() == 1)
        this->schedule();
    return true;
}

void configuration_wait_queue::schedule()
{
    this->timer.expires_after(check_interval);
    this->timer.async_wait(
        [this](asio::error_code const& problem)
        {
            if (!problem)
                this->check();
        });
}

void configuration_wait_queue::check()
{
    auto const now = this->time.now();
    for (auto& call : std::exchange(this->waiting, {}))
    {
        if (*call.is_disconnected)
            continue;
        if (now < call.deadline && !call.can_resume())
        {
            this->waiting.push_back(std::move(call));
            continue;
        }
        this->resume(call);
    }
    if (!this->waiting.empty())
        this->schedule();
}

void configuration_wait_queue::release()
{
    this->timer.cancel();
    for (auto const& call : std::exchange(this->waiting, {}))
    {
        if (!*call.is_disconnected)
            this->resume(call);
    }
}

void configuration_wait_queue::resume(waiting_call const& call)
{
    call.exchange->on_closed({});
    this->resuming = call.exchange.get();
    this->resume_call(call.exchange);
    this->resuming = nullptr;
}

} // namespace lagoonladder::proxy
