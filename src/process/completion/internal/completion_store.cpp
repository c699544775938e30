#include <completion_store.hpp>

namespace lagoonladder::completion
{

namespace
{

request::journal_options journal_limits(settings const& config)
{
    request::journal_options limits;
    limits.max_requests = config.max_stored_requests;
    // 500 open streams of 1000 tokens take about 100 MB, because the engine's events are stored
    // unchanged.
    limits.max_bytes = 128 * 1024 * 1024;
    return limits;
}

} // namespace

completion_store::completion_store(traffic_context& shared_context)
    : context(shared_context)
    , journal(shared_context.config.vm, journal_limits(shared_context.config))
{
}

bool completion_store::accept(request::accepted_request request)
{
    std::lock_guard const lock(this->mutex);
    auto const result = this->journal.accept(this->context.time.now(), std::move(request));
    return result == request::journal_result::stored;
}

void completion_store::release(request_id const& id)
{
    std::lock_guard const lock(this->mutex);
    this->journal.confirm_held(this->context.time.now(), id);
    this->notify(id);
}

void completion_store::confirm_progress(request_id const& id, token_offset next)
{
    std::lock_guard const lock(this->mutex);
    this->journal.confirm_progress(this->context.time.now(), id, next);
}

std::optional<request::progress_batch>
completion_store::pending_progress(request_id const& id) const
{
    std::lock_guard const lock(this->mutex);
    return this->journal.pending_progress(id);
}

std::vector<request_id> completion_store::unfinished_with_companion(vm_id const& companion) const
{
    std::lock_guard const lock(this->mutex);
    return this->journal.unfinished_with_companion(companion);
}

request::journal_result completion_store::hold(request::accepted_request request)
{
    std::lock_guard const lock(this->mutex);
    return this->journal.hold(this->context.time.now(), std::move(request));
}

request::journal_result completion_store::add_progress(request_id const& id,
                                                       request::progress_batch const& batch)
{
    std::lock_guard const lock(this->mutex);
    auto const result = this->journal.progress(this->context.time.now(), id, batch);
    this->notify(id);
    return result;
}

std::vector<request::take_over> completion_store::take_over_from(vm_id const& owner)
{
    std::lock_guard const lock(this->mutex);
    return this->journal.owner_lost(this->context.time.now(), owner);
}

bool completion_store::append(request_id const& id, token_offset offset,
                              std::vector<std::string> const& tokens)
{
    std::lock_guard const lock(this->mutex);
    auto const result = this->journal.append(this->context.time.now(), id, offset, tokens);
    this->notify(id);
    return result == request::journal_result::stored || result == request::journal_result::known;
}

void completion_store::finish(request_id const& id, request::request_outcome outcome)
{
    std::lock_guard const lock(this->mutex);
    this->journal.finish(this->context.time.now(), id, std::move(outcome));
    this->notify(id);
}

request::fetch_result completion_store::read(request_id const& id, account_id const& account,
                                             token_offset offset, change_handler on_change)
{
    std::lock_guard const lock(this->mutex);
    auto result = this->journal.fetch(id, account, offset);
    if (result.state == request::holder_state::storing)
        result.tokens.clear();
    if (on_change && !is_worth_sending(result))
        this->handlers[id].push_back(std::move(on_change));
    return result;
}

bool completion_store::is_worth_sending(request::fetch_result const& result)
{
    return result.status != request::fetch_status::found || !result.tokens.empty() ||
           result.outcome.has_value();
}

std::optional<request::holder_state> completion_store::state_of(request_id const& id) const
{
    std::lock_guard const lock(this->mutex);
    return this->journal.state_of(id);
}

std::optional<token_offset> completion_store::next_offset(request_id const& id) const
{
    std::lock_guard const lock(this->mutex);
    return this->journal.next_offset(id);
}

void completion_store::expire()
{
    std::lock_guard const lock(this->mutex);
    this->journal.expire(this->context.time.now());
    std::vector<request_id> discarded;
    for (auto const& [id, waiting] : this->handlers)
    {
        if (!this->journal.state_of(id))
            discarded.push_back(id);
    }
    for (auto const& id : discarded)
        this->notify(id);
}

std::size_t completion_store::size() const
{
    std::lock_guard const lock(this->mutex);
    return this->journal.size();
}

void completion_store::notify(request_id const& id)
{
    auto const found = this->handlers.find(id);
    if (found == this->handlers.end())
        return;
    auto const due_handlers = std::move(found->second);
    this->handlers.erase(found);
    for (auto const& on_change : due_handlers)
        on_change();
}

} // namespace lagoonladder::completion
