#include <local_token_source.hpp>

namespace lagoonladder::completion
{

namespace
{

// After this time without a token the caller receives a comment line, so that it can
// distinguish a slow answer from a dead connection.
constexpr duration read_wait = seconds(1);

} // namespace

local_token_source::local_token_source(std::shared_ptr<asio::io_context> const& event_loop,
                                       completion_store& request_store, request_id request,
                                       account_id request_account)
    : loop(event_loop)
    , store(request_store)
    , id(std::move(request))
    , account(std::move(request_account))
    , timer(*event_loop)
{
}

void local_token_source::read(token_offset offset, handler done)
{
    this->next = offset;
    this->pending_handler = std::move(done);
    this->timer.expires_after(read_wait);
    this->timer.async_wait(
        [weak = this->weak_from_this()](asio::error_code const& cancelled)
        {
            auto const self = weak.lock();
            if (!cancelled && self && self->pending_handler)
                self->finish(self->store.read(self->id, self->account, self->next));
        });
    this->check_store();
}

void local_token_source::check_store()
{
    if (!this->pending_handler)
        return;
    completion_store::change_handler on_change;
    if (!this->is_listening)
    {
        on_change = [weak = this->weak_from_this(), weak_loop = this->loop]
        {
            auto const event_loop = weak_loop.lock();
            if (!event_loop)
                return;
            asio::post(*event_loop,
                       [weak]
                       {
                           auto const self = weak.lock();
                           if (!self)
                               return;
                           self->is_listening = false;
                           self->check_store();
                       });
        };
    }
    auto result = this->store.read(this->id, this->account, this->next, std::move(on_change));
    if (completion_store::is_worth_sending(result))
        return this->finish(std::move(result));
    this->is_listening = true;
}

void local_token_source::finish(request::fetch_result result)
{
    this->timer.cancel();
    auto const done = std::exchange(this->pending_handler, nullptr);
    // Posted, because a reader that reads again from its handler would otherwise recurse.
    if (auto const event_loop = this->loop.lock())
        asio::post(*event_loop,
                   [done, result = std::move(result)]() mutable { done(std::move(result)); });
}

} // namespace lagoonladder::completion
