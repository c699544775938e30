#include <lagoonladder/connection/endpoint_directory.hpp>

#include <algorithm>
#include <utility>

namespace lagoonladder::connection
{

namespace
{

bool is_leaving(endpoint_record const& row)
{
    return row.state == endpoint_state::leaving;
}

bool matches(reclaim_notice const& notice, endpoint_record const& row)
{
    if (!notice.vm.value().empty())
        return notice.vm == row.vm;
    return notice.zone == row.zone && (row.reclaimable || !notice.reclaimable_only);
}

bool is_same_subject(reclaim_notice const& left, reclaim_notice const& right)
{
    return left.vm == right.vm && left.zone == right.zone;
}

} // namespace

char const* to_string(endpoint_result result)
{
    switch (result)
    {
    case endpoint_result::added:
        return "added";
    case endpoint_result::renewed:
        return "renewed";
    case endpoint_result::marked_leaving:
        return "marked_leaving";
    case endpoint_result::unchanged:
        return "unchanged";
    case endpoint_result::stale:
        return "stale";
    case endpoint_result::tombstoned:
        return "gone";
    case endpoint_result::not_found:
        return "not_found";
    case endpoint_result::full:
        return "full";
    }
    return "invalid";
}

endpoint_directory::endpoint_directory(endpoint_directory_options initial)
    : options(initial)
{
}

endpoint_result endpoint_directory::announce(time_point now, endpoint_record row)
{
    return this->put(now, std::move(row), this->options.lease);
}

endpoint_result endpoint_directory::renew(time_point now, endpoint_id const& id,
                                          incarnation incarnation, std::uint64_t sequence,
                                          load_report const& load)
{
    auto const found = this->rows.find(id);
    if (found == this->rows.end())
        return endpoint_result::not_found;
    auto row = found->second.record;
    row.incarnation = incarnation;
    row.sequence = sequence;
    row.load = load;
    // After a restart of the endpoint the other fields may differ, so a full announcement is
    // needed.
    if (incarnation > found->second.record.incarnation)
        return endpoint_result::not_found;
    return this->put(now, std::move(row), this->options.lease);
}

endpoint_result endpoint_directory::leave(time_point now, endpoint_id const& id)
{
    auto const found = this->rows.find(id);
    if (found == this->rows.end())
        return endpoint_result::not_found;
    auto& known = found->second;
    if (!this->is_listed(now, known))
        return endpoint_result::tombstoned;
    if (is_leaving(known.record))
        return endpoint_result::unchanged;
    this->mark_leaving(known);
    return endpoint_result::marked_leaving;
}

endpoint_result endpoint_directory::remove(time_point now, endpoint_id const& id)
{
    auto const found = this->rows.find(id);
    if (found == this->rows.end())
        return endpoint_result::not_found;
    auto& known = found->second;
    if (!this->is_listed(now, known))
        return endpoint_result::tombstoned;
    known.is_removed = true;
    this->mark_leaving(known);
    return endpoint_result::marked_leaving;
}

endpoint_result endpoint_directory::merge(time_point now, endpoint_record row)
{
    return this->put(now, std::move(row), this->options.lease + this->options.gossip_allowance);
}

endpoint_merge_summary endpoint_directory::merge(time_point now,
                                                 std::vector<endpoint_record> const& from)
{
    endpoint_merge_summary summary;
    for (auto const& row : from)
    {
        auto const result = this->merge(now, row);
        ++summary.results[result];
        auto const is_new_leaving = result == endpoint_result::added && is_leaving(row);
        if (result == endpoint_result::marked_leaving || is_new_leaving)
            summary.became_leaving.push_back(row);
    }
    return summary;
}

std::vector<endpoint_id> endpoint_directory::apply(time_point now, reclaim_notice const& notice)
{
    auto const known =
        std::find_if(this->notices.begin(), this->notices.end(),
                     [&](auto const& other) { return is_same_subject(notice, other); });
    if (known != this->notices.end())
        this->notices.erase(known);
    else if (this->notices.size() >= this->options.max_rows)
        this->notices.erase(std::min_element(this->notices.begin(), this->notices.end(),
                                             [](auto const& left, auto const& right)
                                             { return left.deadline < right.deadline; }));
    this->notices.push_back(notice);
    std::vector<endpoint_id> marked;
    for (auto& [id, row] : this->rows)
    {
        auto const was_leaving = is_leaving(row.record);
        if (!matches(notice, row.record) || !this->is_listed(now, row))
            continue;
        this->apply_notice(row, notice);
        if (!was_leaving)
            marked.push_back(id);
    }
    return marked;
}

std::vector<endpoint_id> endpoint_directory::expire(time_point now)
{
    std::vector<endpoint_id> expired;
    for (auto position = this->rows.begin(); position != this->rows.end();)
    {
        auto& known = position->second;
        if (known.lease_until <= now && !known.is_expiry_reported)
        {
            known.is_expiry_reported = true;
            if (!known.is_removed)
                expired.push_back(position->first);
        }
        if (known.lease_until + this->options.tombstone_retention <= now)
            position = this->rows.erase(position);
        else
            ++position;
    }
    // A VM may run slightly past its announced deadline, and its endpoints still renew then.
    std::erase_if(this->notices,
                  [&](auto const& notice) { return notice.deadline + this->options.lease <= now; });
    return expired;
}

std::vector<endpoint_record> endpoint_directory::live(time_point now) const
{
    std::vector<endpoint_record> out;
    for (auto const& [id, known] : this->rows)
    {
        if (this->is_listed(now, known))
            out.push_back(known.record);
    }
    return out;
}

std::optional<endpoint_record> endpoint_directory::find(time_point now, endpoint_id const& id) const
{
    auto const found = this->rows.find(id);
    if (found == this->rows.end() || !this->is_listed(now, found->second))
        return std::nullopt;
    return found->second.record;
}

std::optional<time_point> endpoint_directory::reclaim_deadline(endpoint_id const& id) const
{
    auto const found = this->rows.find(id);
    if (found == this->rows.end())
        return std::nullopt;
    return found->second.reclaim_deadline;
}

std::vector<endpoint_record> endpoint_directory::changed_since(time_point now,
                                                               std::uint64_t version) const
{
    std::vector<endpoint_record> out;
    for (auto const& [id, known] : this->rows)
    {
        if (known.lease_until > now && known.version > version)
            out.push_back(known.record);
    }
    return out;
}

bool endpoint_directory::is_listed(time_point now, stored_row const& known) const
{
    return known.lease_until > now && !known.is_removed;
}

endpoint_result endpoint_directory::put(time_point now, endpoint_record row, duration lease)
{
    auto const found = this->rows.find(row.id);
    if (found == this->rows.end())
        return this->insert(now, std::move(row), lease);
    auto& known = found->second;
    if (row.incarnation < known.record.incarnation)
        return endpoint_result::stale;
    if (row.incarnation == known.record.incarnation)
        return this->update(now, known, std::move(row), lease);
    known = stored_row{};
    this->replace(now, known, std::move(row), lease);
    return endpoint_result::added;
}

endpoint_result endpoint_directory::insert(time_point now, endpoint_record row, duration lease)
{
    if (this->rows.size() >= this->options.max_rows && !this->evict_oldest_expired(now))
        return endpoint_result::full;
    auto& known = this->rows[row.id];
    this->replace(now, known, std::move(row), lease);
    return endpoint_result::added;
}

endpoint_result endpoint_directory::update(time_point now, stored_row& known, endpoint_record row,
                                           duration lease)
{
    auto const was_leaving = is_leaving(known.record);
    auto const becomes_leaving = !was_leaving && is_leaving(row);
    auto const is_newer = row.sequence > known.record.sequence;
    auto const is_equal = row.sequence == known.record.sequence;
    auto const was_tombstoned = !this->is_listed(now, known);
    if (is_newer && !known.is_removed)
    {
        if (was_leaving)
            row.state = endpoint_state::leaving;
        this->replace(now, known, std::move(row), lease);
        auto const is_marked = !was_leaving && is_leaving(known.record);
        return is_marked ? endpoint_result::marked_leaving : endpoint_result::renewed;
    }
    // A row with a lower sequence may still be the only one with a leaving mark.
    if (becomes_leaving)
    {
        this->mark_leaving(known);
        return was_tombstoned ? endpoint_result::tombstoned : endpoint_result::marked_leaving;
    }
    if (was_tombstoned)
        return endpoint_result::tombstoned;
    return is_equal ? endpoint_result::unchanged : endpoint_result::stale;
}

void endpoint_directory::replace(time_point now, stored_row& known, endpoint_record row,
                                 duration lease)
{
    known.record = std::move(row);
    known.lease_until = std::max(known.lease_until, now + lease);
    known.is_expiry_reported = false;
    for (auto const& notice : this->notices)
    {
        if (matches(notice, known.record))
            this->apply_notice(known, notice);
    }
    this->assign_next_version(known);
}

void endpoint_directory::apply_notice(stored_row& known, reclaim_notice const& notice)
{
    known.reclaim_deadline = notice.deadline;
    if (!is_leaving(known.record))
        this->mark_leaving(known);
}

void endpoint_directory::mark_leaving(stored_row& known)
{
    known.record.state = endpoint_state::leaving;
    this->assign_next_version(known);
}

bool endpoint_directory::evict_oldest_expired(time_point now)
{
    auto const oldest =
        std::min_element(this->rows.begin(), this->rows.end(),
                         [](auto const& left, auto const& right)
                         { return left.second.lease_until < right.second.lease_until; });
    if (oldest == this->rows.end() || oldest->second.lease_until > now)
        return false;
    this->rows.erase(oldest);
    return true;
}

void endpoint_directory::assign_next_version(stored_row& known)
{
    known.version = ++this->current_version;
}

} // namespace lagoonladder::connection
