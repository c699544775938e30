#include <lagoonladder/request/accepted_request.hpp>

#include <algorithm>
#include <utility>

namespace lagoonladder::request
{

namespace
{

std::size_t size_of(accepted_request const& request)
{
    return request.body.size() + request.path.size();
}

std::size_t size_of(std::vector<std::string> const& tokens)
{
    std::size_t size = 0;
    for (auto const& token : tokens)
        size += token.size() + sizeof(std::string);
    return size;
}

std::size_t size_of(std::optional<request_outcome> const& outcome)
{
    return outcome ? outcome->failure.size() + outcome->finish_reason.size() : 0;
}

bool is_same_request(accepted_request const& left, accepted_request const& right)
{
    return left.account == right.account && left.owner == right.owner && left.body == right.body;
}

} // namespace

char const* to_string(holder_state state)
{
    switch (state)
    {
    case holder_state::storing:
        return "storing";
    case holder_state::running:
        return "running";
    case holder_state::handed_over:
        return "handed_over";
    case holder_state::holding:
        return "holding";
    case holder_state::taking_over:
        return "taking_over";
    case holder_state::finished:
        return "finished";
    }
    return "invalid";
}

char const* to_string(journal_result result)
{
    switch (result)
    {
    case journal_result::stored:
        return "stored";
    case journal_result::known:
        return "known";
    case journal_result::full:
        return "full";
    case journal_result::not_found:
        return "not_found";
    case journal_result::gap:
        return "gap";
    case journal_result::superseded:
        return "superseded";
    }
    return "invalid";
}

request_journal::request_journal(vm_id own, journal_options initial)
    : self(std::move(own))
    , options(initial)
{
}

journal_result request_journal::accept(time_point now, accepted_request request)
{
    invariant(request.owner == this->self, "an entry accepts requests as their owner");
    return this->insert(now, std::move(request), holder_state::storing);
}

journal_result request_journal::confirm_held(time_point now, request_id const& id)
{
    auto* const record = this->find(id);
    if (record == nullptr)
        return journal_result::not_found;
    if (record->state != holder_state::storing)
        return journal_result::known;
    record->state = holder_state::running;
    record->last_change = now;
    return journal_result::stored;
}

journal_result request_journal::confirm_progress(time_point now, request_id const& id,
                                                 token_offset next, bool has_outcome)
{
    auto* const record = this->find(id);
    if (record == nullptr)
        return journal_result::not_found;
    auto const is_new =
        next > record->first_unconfirmed || (has_outcome && !record->is_outcome_confirmed);
    record->first_unconfirmed = std::max(record->first_unconfirmed, next);
    record->is_outcome_confirmed = record->is_outcome_confirmed || has_outcome;
    record->last_change = now;
    return is_new ? journal_result::stored : journal_result::known;
}

std::optional<progress_batch> request_journal::pending_progress(request_id const& id) const
{
    auto const found = this->requests.find(id);
    if (found == this->requests.end() || found->second.request.owner != this->self)
        return std::nullopt;
    auto const& record = found->second;
    auto const is_handed_over = record.state == holder_state::handed_over;
    auto const first = record.first_unconfirmed.value();
    auto const lacks_outcome = record.outcome && !record.is_outcome_confirmed;
    if (is_handed_over || (first >= record.tokens.size() && !lacks_outcome))
        return std::nullopt;
    auto const from =
        record.tokens.begin() + static_cast<std::ptrdiff_t>(std::min(first, record.tokens.size()));
    return progress_batch{record.first_unconfirmed, {from, record.tokens.end()}, record.outcome};
}

journal_result request_journal::hand_over(time_point now, request_id const& id)
{
    auto* const record = this->find(id);
    if (record == nullptr || record->request.owner != this->self)
        return journal_result::not_found;
    if (record->state == holder_state::finished)
        return journal_result::superseded;
    if (record->state == holder_state::handed_over)
        return journal_result::known;
    record->state = holder_state::handed_over;
    record->last_change = now;
    return journal_result::stored;
}

std::vector<request_id> request_journal::unfinished_with_companion(vm_id const& companion) const
{
    std::vector<request_id> unfinished;
    for (auto const& [id, record] : this->requests)
    {
        if (record.request.owner == this->self && record.request.companion == companion &&
            record.state != holder_state::finished)
            unfinished.push_back(id);
    }
    return unfinished;
}

journal_result request_journal::hold(time_point now, accepted_request request)
{
    invariant(request.owner != this->self, "a companion is another entry than the owner");
    return this->insert(now, std::move(request), holder_state::holding);
}

journal_result request_journal::progress(time_point now, request_id const& id,
                                         progress_batch const& batch)
{
    auto* const record = this->find(id);
    if (record == nullptr)
        return journal_result::not_found;
    if (record->state != holder_state::holding)
        return record->is_finished_by_owner ? journal_result::known : journal_result::superseded;
    auto const result = this->add_tokens(now, *record, batch.offset, batch.tokens);
    if (result == journal_result::gap || !batch.outcome)
        return result;
    this->set_outcome(now, *record, *batch.outcome);
    record->is_finished_by_owner = true;
    return journal_result::stored;
}

std::vector<take_over> request_journal::owner_lost(time_point now, vm_id const& owner)
{
    std::vector<take_over> take_overs;
    for (auto& [id, record] : this->requests)
    {
        if (record.request.owner == owner && record.state == holder_state::holding)
            take_overs.push_back(start_take_over(now, record));
    }
    return take_overs;
}

std::optional<take_over> request_journal::take(time_point now, request_id const& id)
{
    auto* const record = this->find(id);
    if (record == nullptr || record->state != holder_state::holding)
        return std::nullopt;
    return start_take_over(now, *record);
}

journal_result request_journal::append(time_point now, request_id const& id, token_offset offset,
                                       std::vector<std::string> const& tokens)
{
    auto* const record = this->find(id);
    if (record == nullptr)
        return journal_result::not_found;
    if (!is_working(*record))
        return journal_result::superseded;
    return this->add_tokens(now, *record, offset, tokens);
}

journal_result request_journal::finish(time_point now, request_id const& id,
                                       request_outcome outcome)
{
    auto* const record = this->find(id);
    if (record == nullptr)
        return journal_result::not_found;
    if (!is_working(*record))
        return journal_result::superseded;
    this->set_outcome(now, *record, std::move(outcome));
    return journal_result::stored;
}

fetch_result request_journal::fetch(request_id const& id, account_id const& account,
                                    token_offset offset) const
{
    auto const found = this->requests.find(id);
    if (found == this->requests.end())
        return {};
    auto const& record = found->second;
    if (record.request.account != account)
        return {fetch_status::forbidden, offset, {}, std::nullopt, record.state};
    auto const first = std::min<std::uint64_t>(offset.value(), record.tokens.size());
    auto const from = record.tokens.begin() + static_cast<std::ptrdiff_t>(first);
    return {fetch_status::found, offset, {from, record.tokens.end()}, record.outcome, record.state};
}

std::optional<holder_state> request_journal::state_of(request_id const& id) const
{
    auto const found = this->requests.find(id);
    if (found == this->requests.end())
        return std::nullopt;
    return found->second.state;
}

std::optional<token_offset> request_journal::next_offset(request_id const& id) const
{
    auto const found = this->requests.find(id);
    if (found == this->requests.end())
        return std::nullopt;
    return token_offset(found->second.tokens.size());
}

std::vector<request_id> request_journal::expire(time_point now)
{
    std::vector<request_id> unfinished;
    for (auto position = this->requests.begin(); position != this->requests.end();)
    {
        auto const& record = position->second;
        auto const is_finished = record.state == holder_state::finished;
        auto const limit = is_finished ? this->options.retention : this->options.max_idle;
        auto const next = std::next(position);
        if (now - record.last_change >= limit)
        {
            if (!is_finished)
                unfinished.push_back(position->first);
            this->erase(position);
        }
        position = next;
    }
    return unfinished;
}

std::size_t request_journal::working_count() const
{
    return static_cast<std::size_t>(std::count_if(this->requests.begin(), this->requests.end(),
                                                  [](auto const& item)
                                                  { return is_working(item.second); }));
}

bool request_journal::is_working(journal_record const& record)
{
    return record.state == holder_state::storing || record.state == holder_state::running ||
           record.state == holder_state::taking_over;
}

request_journal::journal_record* request_journal::find(request_id const& id)
{
    auto const found = this->requests.find(id);
    return found == this->requests.end() ? nullptr : &found->second;
}

journal_result request_journal::insert(time_point now, accepted_request request, holder_state state)
{
    if (auto const* const record = this->find(request.id))
        return is_same_request(record->request, request) ? journal_result::known
                                                         : journal_result::superseded;
    auto const size = size_of(request);
    if (!this->make_room(size))
        return journal_result::full;
    auto& added = this->requests[request.id];
    added.request = std::move(request);
    added.state = state;
    added.last_change = now;
    this->stored_bytes += size;
    return journal_result::stored;
}

journal_result request_journal::add_tokens(time_point now, journal_record& record,
                                           token_offset offset,
                                           std::vector<std::string> const& tokens)
{
    auto const next = record.tokens.size();
    if (offset.value() > next)
        return journal_result::gap;
    auto const overlap = static_cast<std::ptrdiff_t>(next - offset.value());
    record.last_change = now;
    if (static_cast<std::ptrdiff_t>(tokens.size()) <= overlap)
        return journal_result::known;
    auto const added = std::vector<std::string>(tokens.begin() + overlap, tokens.end());
    this->stored_bytes += size_of(added);
    record.tokens.insert(record.tokens.end(), added.begin(), added.end());
    return journal_result::stored;
}

void request_journal::set_outcome(time_point now, journal_record& record, request_outcome outcome)
{
    record.outcome = std::move(outcome);
    record.state = holder_state::finished;
    record.last_change = now;
    this->stored_bytes += size_of(record.outcome);
}

take_over request_journal::start_take_over(time_point now, journal_record& record)
{
    record.state = holder_state::taking_over;
    record.last_change = now;
    return {record.request, token_offset(record.tokens.size()), record.tokens};
}

bool request_journal::make_room(std::size_t bytes)
{
    auto const is_full = [&]
    {
        return this->requests.size() >= this->options.max_requests ||
               this->stored_bytes + bytes > this->options.max_bytes;
    };
    while (is_full())
    {
        auto oldest = this->requests.end();
        for (auto position = this->requests.begin(); position != this->requests.end(); ++position)
        {
            if (position->second.state != holder_state::finished)
                continue;
            if (oldest == this->requests.end() ||
                position->second.last_change < oldest->second.last_change)
                oldest = position;
        }
        if (oldest == this->requests.end())
            return false;
        this->erase(oldest);
    }
    return true;
}

void request_journal::erase(std::map<request_id, journal_record>::iterator position)
{
    auto const& record = position->second;
    this->stored_bytes -=
        size_of(record.request) + size_of(record.tokens) + size_of(record.outcome);
    this->requests.erase(position);
}

} // namespace lagoonladder::request
