#include <lagoonladder/request/at_most_once_record.hpp>

#include <algorithm>

namespace lagoonladder::request
{

template <class Change>
void at_most_once_table::update(record_map::iterator position, Change change)
{
    auto& existing = position->second;
    this->due.erase({due_time(existing), position->first});
    change(existing);
    check_invariants(existing);
    this->due.emplace(due_time(existing), position->first);
}

at_most_once_reply at_most_once_table::reply_for(record const& existing)
{
    at_most_once_reply reply;
    switch (existing.state)
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
        reply.reopen_at = existing.reopen_at;
        break;
    }
    reply.attempt = existing.attempt;
    reply.answer = existing.answer;
    return reply;
}

wall_time at_most_once_table::due_time(record const& existing)
{
    return existing.state == at_most_once_state::dispatched ? existing.deadline
                                                            : existing.changed + retention;
}

bool at_most_once_table::is_retired(record const& existing, attempt_id const& attempt)
{
    return std::any_of(existing.retired.begin(), existing.retired.end(),
                       [&](retired_attempt const& entry) { return entry.attempt == attempt; });
}

bool at_most_once_table::may_grant(record const& existing, wall_time now,
                                   at_most_once_begin const& command)
{
    // An entry whose clock is ahead states an arrival in the future. Limiting it to the time of the
    // log entry keeps such an attempt from passing `reopen_at` too early.
    auto const arrived = std::min(command.arrived, now);
    return existing.state == at_most_once_state::refused && arrived >= existing.reopen_at &&
           !is_retired(existing, command.attempt);
}

void at_most_once_table::retire(record& existing, wall_time now, attempt_id const& attempt)
{
    existing.changed = now;
    if (is_retired(existing, attempt))
        return;
    existing.retired.push_back({attempt, now});
    if (existing.retired.size() <= max_retired)
        return;
    // The dropped attempt arrived before it was retired, so that a later `reopen_at` still refuses
    // it.
    existing.reopen_at =
        std::max(existing.reopen_at, existing.retired.front().retired_at + microseconds(1));
    existing.retired.erase(existing.retired.begin());
}

void at_most_once_table::check_invariants(record const& existing)
{
    bool const holds_grant = existing.state != at_most_once_state::refused;
    invariant(holds_grant != existing.attempt.value().empty(),
              "an at-most-once record names an attempt exactly when one was dispatched");
    invariant(!holds_grant || !is_retired(existing, existing.attempt),
              "a refused or withdrawn attempt never holds the grant");
    invariant((existing.state == at_most_once_state::done) == existing.answer.has_value(),
              "an at-most-once record has an answer exactly when it is done");
}

void at_most_once_table::grant(record_map::iterator position, wall_time now,
                               at_most_once_begin const& command)
{
    this->update(position,
                 [&](record& existing)
                 {
                     invariant(existing.attempt.value().empty(),
                               "at most one attempt of a key is granted, unless the earlier one "
                               "was withdrawn");
                     existing.state = at_most_once_state::dispatched;
                     existing.body_digest = command.body_digest;
                     existing.attempt = command.attempt;
                     // A record without a deadline would never be dropped.
                     existing.deadline = std::min(command.deadline, now + retention);
                     existing.changed = now;
                 });
}

at_most_once_reply at_most_once_table::begin(wall_time now, at_most_once_begin const& command)
{
    auto position = this->records.find(command.key);
    if (position == this->records.end())
    {
        if (command.attempt.value().empty() || command.arrived + max_arrival_age <= now)
            return {};
        position = this->records.emplace(command.key, record{}).first;
        this->grant(position, now, command);
    }
    else if (position->second.body_digest != command.body_digest)
        return {at_most_once_verdict::conflict, {}, {}, {}};
    else if (!command.attempt.value().empty() && may_grant(position->second, now, command))
        this->grant(position, now, command);
    else if (position->second.state == at_most_once_state::refused)
        this->update(position, [&](record& existing) { retire(existing, now, command.attempt); });

    auto reply = reply_for(position->second);
    if (reply.verdict == at_most_once_verdict::in_progress && reply.attempt == command.attempt)
        reply.verdict = at_most_once_verdict::granted;
    return reply;
}

void at_most_once_table::set_refused(record_map::iterator position, wall_time now,
                                     at_most_once_refuse const& command)
{
    this->update(
        position,
        [&](record& existing)
        {
            existing.state = at_most_once_state::refused;
            existing.body_digest = command.body_digest;
            existing.attempt = {};
            auto const pause = std::max(command.retry_after, duration(0));
            // Strictly after `now`, so that attempts which arrived in the microsecond of the
            // refusal are not granted.
            existing.reopen_at = std::max({existing.reopen_at, now + pause, now + microseconds(1)});
            retire(existing, now, command.attempt);
        });
}

at_most_once_reply at_most_once_table::refuse(wall_time now, at_most_once_refuse const& command)
{
    auto const [position, inserted] = this->records.try_emplace(command.key);
    auto const& existing = position->second;
    if (!inserted && existing.body_digest != command.body_digest)
        return {at_most_once_verdict::conflict, {}, {}, {}};
    bool const holds_grant =
        existing.state == at_most_once_state::dispatched && existing.attempt == command.attempt;
    if (holds_grant || existing.state == at_most_once_state::refused)
        this->set_refused(position, now, command);
    return reply_for(existing);
}

at_most_once_reply at_most_once_table::finish(wall_time now, at_most_once_finish const& command)
{
    auto const position = this->records.find(command.key);
    if (position == this->records.end())
        return {};
    auto const& existing = position->second;
    bool const accepts_result =
        existing.state == at_most_once_state::dispatched ||
        (existing.state == at_most_once_state::unknown && command.answer.has_value());
    if (accepts_result && existing.attempt == command.attempt)
        this->update(position,
                     [&](record& updated)
                     {
                         updated.state = command.answer ? at_most_once_state::done
                                                        : at_most_once_state::unknown;
                         updated.answer = command.answer;
                         updated.changed = now;
                     });
    return reply_for(existing);
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
                         [&](record& existing)
                         {
                             existing.state = at_most_once_state::unknown;
                             existing.changed = now;
                         });
            continue;
        }
        this->due.erase(this->due.begin());
        this->records.erase(position);
    }
}

} // namespace lagoonladder::request
