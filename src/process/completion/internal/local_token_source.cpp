#include <local_token_source.hpp>

namespace lagoonladder::completion
{

namespace
{

// After this time without a token the caller receives a comment line, so that it can
// distinguish a slow answer from a dead connection.
constexpr duration read_wait = seconds(1);

} // namespace

local_token_source::local_token_source(std::shared_ptr<asio::io_context> const& io,
                                       completion_store& requests, request_id request,
                                       account_id owner)
    : loop(io)
    , store(requests)
    , id(std::move(request))
    , account(std::move(owner))
    , timer(*io)
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
    completion_store::change_handler changed;
    if (!this->is_listening)
    {
        changed = [weak = this->weak_from_this(), weak_loop = this->loop]
        {
            auto const io = weak_loop.lock();
            if (!io)
                return;
            asio::post(*io,
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
    auto found = this->store.read(this->id, this->account, this->next, std::move(changed));
    if (completion_store::is_worth_sending(found))
        return this->finish(std::move(found));
    this->is_listening = true;
}

void local_token_source::finish(request::fetch_result found)
{
    this->timer.cancel();
    auto const done = std::exchange(this->pending_handler, nullptr);
    // Posted, because a reader that reads again from its handler would otherwise recurse.
    if (auto const io = this->loop.lock())
        asio::post(*io, [done, found = std::move(found)]() mutable { done(std::move(found)); });
}

} // namespace lagoonladder::completion
