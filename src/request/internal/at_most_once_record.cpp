#include <lagoonladder/request/at_most_once_record.hpp>

#include <algorithm>

namespace lagoonladder::request
{

template <class Change>
void at_most_once_table::update(record_map::iterator position, Change change)
{
    auto& known = position->second;
    this->due.erase({due_time(known), position->first});
    change(known);
    check(known);
    this->due.emplace(due_time(known), position->first);
}

at_most_once_reply at_most_once_table::reply_for(record const& known)
{
    at_most_once_reply reply;
    switch (known.state)
    {
    case at_most_once_state::dispatched:
        reply.verdict = at_most_once_verdict::in_progress;
        break;
    case at_most_once_state::done:
        reply.verdict = at_most_once_verdict::answered;
        break;
    case at_most_once_state::unknown:
        reply.verdict = at_most_once_verdict::outcome_unknown;
        break;
    case at_most_once_state::refused:
        reply.verdict = at_most_once_verdict::refused;
        reply.reopen_at = known.reopen_at;
        break;
    }
    reply.attempt = known.attempt;
    reply.answer = known.answer;
    return reply;
}

wall_time at_most_once_table::due_time(record const& known)
{
    return known.state == at_most_once_state::dispatched ? known.deadline : known.changed + retention;
}

bool at_most_once_table::is_retired(record const& known, attempt_id const& attempt)
{
    return std::any_of(known.retired.begin(), known.retired.end(),
                       [&](retired_attempt const& entry) { return entry.attempt == attempt; });
}

bool at_most_once_table::may_grant(record const& known, wall_time now, at_most_once_begin const& command)
{
    // An entry whose clock is ahead states an arrival in the future; it must not
    // pass the reopening time by that.
    auto const arrived = std::min(command.arrived, now);
    return known.state == at_most_once_state::refused && arrived >= known.reopen_at &&
           !is_retired(known, command.attempt);
}

void at_most_once_table::retire(record& known, wall_time now, attempt_id const& attempt)
{
    known.changed = now;
    if (is_retired(known, attempt))
        return;
    known.retired.push_back({attempt, now});
    if (known.retired.size() <= max_retired)
        return;
    // The attempt arrived before it was retired, so a later reopening time keeps refusing it.
    known.reopen_at = std::max(known.reopen_at, known.retired.front().when + microseconds(1));
    known.retired.erase(known.retired.begin());
}

void at_most_once_table::check(record const& known)
{
    bool const holds_grant = known.state != at_most_once_state::refused;
    invariant(holds_grant != known.attempt.value().empty(),
              "an at-most-once record names an attempt exactly when one was dispatched");
    invariant(!holds_grant || !is_retired(known, known.attempt),
              "a refused or withdrawn attempt never holds the grant");
    invariant((known.state == at_most_once_state::done) == known.answer.has_value(),
              "an at-most-once record has an answer exactly when it is done");
}

void at_most_once_table::grant(record_map::iterator position, wall_time now, at_most_once_begin const& command)
{
    this->update(position,
                 [&](record& known)
                 {
                     invariant(known.attempt.value().empty(),
                               "at most one attempt of a key is granted, unless the earlier one "
                               "was withdrawn");
                     known.state = at_most_once_state::dispatched;
                     known.body_digest = command.body_digest;
                     known.attempt = command.attempt;
                     // A record without an end would never be dropped.
                     known.deadline = std::min(command.deadline, now + retention);
                     known.changed = now;
                 });
}

at_most_once_reply at_most_once_table::begin(wall_time now, at_most_once_begin const& command)
{
    auto position = this->records.find(command.key);
    if (position == this->records.end())
    {
        if (command.attempt.value().empty() || command.arrived + oldest_arrival <= now)
            return {};
        position = this->records.emplace(command.key, record{}).first;
        this->grant(position, now, command);
    }
    else if (position->second.body_digest != command.body_digest)
        return {at_most_once_verdict::conflict, {}, {}, {}};
    else if (!command.attempt.value().empty() && may_grant(position->second, now, command))
        this->grant(position, now, command);
    else if (position->second.state == at_most_once_state::refused)
        this->update(position, [&](record& known) { retire(known, now, command.attempt); });

    auto reply = reply_for(position->second);
    if (reply.verdict == at_most_once_verdict::in_progress && reply.attempt == command.attempt)
        reply.verdict = at_most_once_verdict::granted;
    return reply;
}

void at_most_once_table::close(record_map::iterator position, wall_time now, at_most_once_refuse const& command)
{
    this->update(
        position,
        [&](record& known)
        {
            known.state = at_most_once_state::refused;
            known.body_digest = command.body_digest;
            known.attempt = {};
            auto const pause = std::max(command.retry_after, duration(0));
            // Strictly after `now`: arrivals in the microsecond of the refusal stay out.
            known.reopen_at = std::max({known.reopen_at, now + pause, now + microseconds(1)});
            retire(known, now, command.attempt);
        });
}

at_most_once_reply at_most_once_table::refuse(wall_time now, at_most_once_refuse const& command)
{
    auto const [position, inserted] = this->records.try_emplace(command.key);
    auto const& known = position->second;
    if (!inserted && known.body_digest != command.body_digest)
        return {at_most_once_verdict::conflict, {}, {}, {}};
    bool const holder = known.state == at_most_once_state::dispatched && known.attempt == command.attempt;
    if (holder || known.state == at_most_once_state::refused)
        this->close(position, now, command);
    return reply_for(known);
}

at_most_once_reply at_most_once_table::finish(wall_time now, at_most_once_finish const& command)
{
    auto const position = this->records.find(command.key);
    if (position == this->records.end())
        return {};
    auto const& known = position->second;
    bool const open = known.state == at_most_once_state::dispatched ||
                      (known.state == at_most_once_state::unknown && command.answer.has_value());
    if (open && known.attempt == command.attempt)
        this->update(position,
                     [&](record& changed)
                     {
                         changed.state = command.answer ? at_most_once_state::done : at_most_once_state::unknown;
                         changed.answer = command.answer;
                         changed.changed = now;
                     });
    return reply_for(known);
}

std::optional<at_most_once_reply> at_most_once_table::find(at_most_once_key const& key) const
{
    auto const position = this->records.find(key);
    if (position == this->records.end())
        return std::nullopt;
    return reply_for(position->second);
}

void at_most_once_table::expire(wall_time now)
{
    while (!this->due.empty() && this->due.begin()->first <= now)
    {
        auto const position = this->records.find(this->due.begin()->second);
        invariant(position != this->records.end(), "each due time belongs to a record");
        if (position->second.state == at_most_once_state::dispatched)
        {
            this->update(position,
                         [&](record& known)
                         {
                             known.state = at_most_once_state::unknown;
                             known.changed = now;
                         });
            continue;
        }
        this->due.erase(this->due.begin());
        this->records.erase(position);
    }
}

} // namespace lagoonladder::request
