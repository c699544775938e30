#include "configuration_wait_queue.hpp"

#include <algorithm>
#include <utility>

namespace lagoonladder::proxy
{

namespace
{

constexpr duration check_interval = milliseconds(10);
/// Part of the caller's time that may pass before it is told to come back.
constexpr int part_of_time_left = 3;

} // namespace

configuration_wait_queue::configuration_wait_queue(asio::io_context& context,
                                                   clock const& time_source, handler next)
    : time(time_source)
    , go_on(std::move(next))
    , timer(context)
{
}

bool configuration_wait_queue::wait(std::shared_ptr<http::server_exchange> const& exchange,
                                    duration time_left, condition may_go)
{
    if (exchange.get() == this->current || this->waiting.size() >= max_waiting)
        return false;
    auto const span = std::min<duration>(longest_wait, time_left / part_of_time_left);
    auto const is_gone = std::make_shared<bool>(false);
    exchange->on_closed([is_gone] { *is_gone = true; });
    this->waiting.push_back({exchange, exchange->arrived() + span, std::move(may_go), is_gone});
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
        if (*call.is_gone)
            continue;
        if (now < call.until && !call.may_go())
        {
            this->waiting.push_back(std::move(call));
            continue;
        }
        this->go_on_with(call);
    }
    if (!this->waiting.empty())
        this->schedule();
}

void configuration_wait_queue::release()
{
    this->timer.cancel();
    for (auto const& call : std::exchange(this->waiting, {}))
    {
        if (!*call.is_gone)
            this->go_on_with(call);
    }
}

void configuration_wait_queue::go_on_with(waiting_call const& call)
{
    call.exchange->on_closed({});
    this->current = call.exchange.get();
    this->go_on(call.exchange);
    this->current = nullptr;
}

} // namespace lagoonladder::proxy
