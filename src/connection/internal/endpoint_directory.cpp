#include <lagoonladder/connection/endpoint_directory.hpp>

#include <algorithm>
#include <utility>

namespace lagoonladder::connection
{

namespace
{

bool is_leaving(endpoint_record const& endpoint)
{
    return endpoint.state == endpoint_state::leaving;
}

bool matches(reclaim_notice const& notice, endpoint_record const& endpoint)
{
    if (!notice.vm.value().empty())
        return notice.vm == endpoint.vm;
    return notice.zone == endpoint.zone && (endpoint.reclaimable || !notice.reclaimable_only);
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

endpoint_result endpoint_directory::announce(time_point now, endpoint_record endpoint)
{
    endpoint.renewal_age = duration::zero();
    return this->put(now, std::move(endpoint), this->options.lease);
}

endpoint_result endpoint_directory::renew(time_point now, endpoint_id const& id,
                                          incarnation incarnation, std::uint64_t sequence,
                                          load_report const& load)
{
    auto const found = this->rows.find(id);
    if (found == this->rows.end())
        return endpoint_result::not_found;
    auto endpoint = found->second.record;
    endpoint.incarnation = incarnation;
    endpoint.sequence = sequence;
    endpoint.load = load;
    endpoint.cold_remaining.reset();
    // After a restart of the endpoint the other fields may differ, so a full announcement is
    // needed.
    if (incarnation > found->second.record.incarnation)
        return endpoint_result::not_found;
    return this->put(now, std::move(endpoint), this->options.lease);
}

endpoint_result endpoint_directory::leave(time_point now, endpoint_id const& id)
{
    auto const found = this->rows.find(id);
    if (found == this->rows.end())
        return endpoint_result::not_found;
    auto& row = found->second;
    if (!this->is_listed(now, row))
        return endpoint_result::tombstoned;
    if (is_leaving(row.record))
        return endpoint_result::unchanged;
    this->mark_leaving(row);
    return endpoint_result::marked_leaving;
}

endpoint_result endpoint_directory::remove(time_point now, endpoint_id const& id)
{
    auto const found = this->rows.find(id);
    if (found == this->rows.end())
        return endpoint_result::not_found;
    auto& row = found->second;
    if (!this->is_listed(now, row))
        return endpoint_result::tombstoned;
    row.is_removed = true;
    this->mark_leaving(row);
    return endpoint_result::marked_leaving;
}

endpoint_result endpoint_directory::merge(time_point now, endpoint_record endpoint)
{
    return this->put(now, std::move(endpoint),
                     this->options.lease + this->options.gossip_allowance);
}

endpoint_merge_summary endpoint_directory::merge(time_point now,
                                                 std::vector<endpoint_record> const& endpoints)
{
    endpoint_merge_summary summary;
    for (auto const& endpoint : endpoints)
    {
        auto const result = this->merge(now, endpoint);
        ++summary.results[result];
        auto const is_new_leaving = result == endpoint_result::added && is_leaving(endpoint);
        if (result == endpoint_result::marked_leaving || is_new_leaving)
            summary.became_leaving.push_back(endpoint);
    }
    return summary;
}

std::vector<endpoint_id> endpoint_directory::apply(time_point now, reclaim_notice const& notice)
{
    auto const previous_notice =
        std::find_if(this->notices.begin(), this->notices.end(),
                     [&](auto const& other) { return is_same_subject(notice, other); });
    if (previous_notice != this->notices.end())
        this->notices.erase(previous_notice);
    else if (this->notices.size() >= this->options.max_rows)
        this->notices.erase(std::min_element(this->notices.begin(), this->notices.end(),
                                             [](auto const& left, auto const& right)
                                             { return left.deadline < right.deadline; }));
    this->notices.push_back(notice);
    std::vector<endpoint_id> marked_ids;
    for (auto& [id, row] : this->rows)
    {
        auto const was_leaving = is_leaving(row.record);
        if (!matches(notice, row.record) || !this->is_listed(now, row))
            continue;
        this->apply_notice(row, notice);
        if (!was_leaving)
            marked_ids.push_back(id);
    }
    return marked_ids;
}

std::vector<endpoint_id> endpoint_directory::expire(time_point now)
{
    std::vector<endpoint_id> expired_ids;
    for (auto position = this->rows.begin(); position != this->rows.end();)
    {
        auto& row = position->second;
        if (row.lease_until <= now && !row.is_expiry_reported)
        {
            row.is_expiry_reported = true;
            if (!row.is_removed)
                expired_ids.push_back(position->first);
        }
        if (row.lease_until + this->options.tombstone_retention <= now)
            position = this->rows.erase(position);
        else
            ++position;
    }
    // A VM may run slightly past its announced deadline, and its endpoints still renew then.
    std::erase_if(this->notices,
                  [&](auto const& notice) { return notice.deadline + this->options.lease <= now; });
    return expired_ids;
}

std::vector<endpoint_record> endpoint_directory::live(time_point now) const
{
    std::vector<endpoint_record> out;
    for (auto const& [id, row] : this->rows)
    {
        if (this->is_listed(now, row))
            out.push_back(record_to_list(now, row));
    }
    return out;
}

std::optional<endpoint_record> endpoint_directory::find(time_point now, endpoint_id const& id) const
{
    auto const found = this->rows.find(id);
    if (found == this->rows.end() || !this->is_listed(now, found->second))
        return std::nullopt;
    return record_to_list(now, found->second);
}

std::optional<endpoint_record> endpoint_directory::find_gossiped(time_point now,
                                                                 endpoint_id const& id) const
{
    auto const found = this->rows.find(id);
    if (found == this->rows.end() || found->second.lease_until <= now)
        return std::nullopt;
    return record_to_send(now, found->second);
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
    for (auto const& [id, row] : this->rows)
    {
        if (row.lease_until > now && row.version > version)
            out.push_back(record_to_send(now, row));
    }
    return out;
}

endpoint_record endpoint_directory::record_to_list(time_point now, stored_row const& row)
{
    auto record = row.record;
    if (record.cold_remaining)
        record.cold_remaining =
            std::max<duration>(*record.cold_remaining - (now - row.renewed_at), duration::zero());
    return record;
}

endpoint_record endpoint_directory::record_to_send(time_point now, stored_row const& row)
{
    auto record = row.record;
    record.renewal_age = now - row.renewed_at;
    return record;
}

bool endpoint_directory::is_listed(time_point now, stored_row const& row) const
{
    return row.lease_until > now && !row.is_removed;
}

endpoint_result endpoint_directory::put(time_point now, endpoint_record endpoint, duration lease)
{
    auto const found = this->rows.find(endpoint.id);
    if (found == this->rows.end())
        return this->insert(now, std::move(endpoint), lease);
    auto& row = found->second;
    if (endpoint.incarnation < row.record.incarnation)
        return endpoint_result::stale;
    if (endpoint.incarnation == row.record.incarnation)
        return this->update(now, row, std::move(endpoint), lease);
    row = stored_row{};
    lease -= endpoint.renewal_age;
    this->replace(now, row, std::move(endpoint), lease);
    return endpoint_result::added;
}

endpoint_result endpoint_directory::insert(time_point now, endpoint_record endpoint, duration lease)
{
    if (this->rows.size() >= this->options.max_rows && !this->evict_oldest_expired(now))
        return endpoint_result::full;
    auto& row = this->rows[endpoint.id];
    lease -= endpoint.renewal_age;
    this->replace(now, row, std::move(endpoint), lease);
    return endpoint_result::added;
}

endpoint_result endpoint_directory::update(time_point now, stored_row& row,
                                           endpoint_record endpoint, duration lease)
{
    auto const was_leaving = is_leaving(row.record);
    auto const becomes_leaving = !was_leaving && is_leaving(endpoint);
    auto const is_newer = endpoint.sequence > row.record.sequence;
    auto const is_equal = endpoint.sequence == row.record.sequence;
    auto const was_tombstoned = !this->is_listed(now, row);
    if (is_newer && !row.is_removed)
    {
        if (was_leaving)
            endpoint.state = endpoint_state::leaving;
        // In large systems a renewal is passed on several times before it arrives.
        lease -= std::max(endpoint.renewal_age - this->options.gossip_allowance, duration::zero());
        this->replace(now, row, std::move(endpoint), lease);
        auto const is_marked = !was_leaving && is_leaving(row.record);
        return is_marked ? endpoint_result::marked_leaving : endpoint_result::renewed;
    }
    // A row with a lower sequence may still be the only one with a leaving mark.
    if (becomes_leaving)
    {
        this->mark_leaving(row);
        return was_tombstoned ? endpoint_result::tombstoned : endpoint_result::marked_leaving;
    }
    if (was_tombstoned)
        return endpoint_result::tombstoned;
    return is_equal ? endpoint_result::unchanged : endpoint_result::stale;
}

void endpoint_directory::replace(time_point now, stored_row& row, endpoint_record endpoint,
                                 duration lease)
{
    row.renewed_at = now - endpoint.renewal_age;
    row.record = std::move(endpoint);
    row.record.renewal_age = duration::zero();
    row.lease_until = std::max(row.lease_until, now + lease);
    row.is_expiry_reported = false;
    for (auto const& notice : this->notices)
    {
        if (matches(notice, row.record))
            this->apply_notice(row, notice);
    }
    this->assign_next_version(row);
}

void endpoint_directory::apply_notice(stored_row& row, reclaim_notice const& notice)
{
    row.reclaim_deadline = notice.deadline;
    if (!is_leaving(row.record))
        this->mark_leaving(row);
}

void endpoint_directory::mark_leaving(stored_row& row)
{
    row.record.state = endpoint_state::leaving;
    this->assign_next_version(row);
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

void endpoint_directory::assign_next_version(stored_row& row)
{
    row.version = ++this->current_version;
}

} // namespace lagoonladder::connection
