#include <lagoonladder/request/stream_assembly.hpp>

namespace lagoonladder::request
{

stream_assembly::stream_assembly(token_offset first)
    : next(first)
{
}

token_offset stream_assembly::begin_attempt(attempt_id const& attempt, resume_method method,
                                            std::uint64_t prompt_tokens)
{
    invariant(!this->finished, "no attempt begins after the stream was finished");
    invariant(this->attempt_ids.insert(attempt).second, "attempt ids are used once");
    auto const is_resumption = this->attempt_ids.size() > 1 || this->next > token_offset(0);
    if (is_resumption && method == resume_method::recompute)
        this->recomputed += prompt_tokens + this->next.value();
    this->current = attempt;
    this->active = true;
    return this->next;
}

token_decision stream_assembly::accept(attempt_id const& attempt, token_offset offset)
{
    if (!this->is_current(attempt))
        return token_decision::drop_superseded;
    if (offset < this->next)
    {
        ++this->recomputed;
        return token_decision::drop_duplicate;
    }
    if (offset > this->next)
        return token_decision::gap;
    this->next = token_offset(this->next.value() + 1);
    return token_decision::forward;
}

token_decision stream_assembly::finish(attempt_id const& attempt, token_offset length)
{
    if (!this->is_current(attempt))
        return token_decision::drop_superseded;
    if (length != this->next)
        return length < this->next ? token_decision::drop_duplicate : token_decision::gap;
    this->finished = true;
    return token_decision::forward;
}

void stream_assembly::abandon()
{
    this->active = false;
}

bool stream_assembly::is_current(attempt_id const& attempt) const
{
    return this->active && !this->finished && attempt == this->current;
}

} // namespace lagoonladder::request
