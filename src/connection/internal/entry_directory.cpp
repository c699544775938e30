#include <lagoonladder/connection/entry_directory.hpp>

#include <algorithm>
#include <string>
#include <utility>

#include <rendezvous.hpp>

namespace lagoonladder::connection
{

namespace
{

/// A dead entry is contacted in one of this many gossip intervals on average, if there is one.
constexpr std::uint64_t dead_peer_interval = 8;

bool is_leaving(entry_record const& entry)
{
    return entry.state == entry_state::leaving;
}

void move_random_peer(std::vector<entry_record>& from, std::vector<entry_record>& to,
                      random_source& random)
{
    if (from.empty())
        return;
    auto const position = from.begin() + static_cast<std::ptrdiff_t>(random.below(from.size()));
    to.push_back(std::move(*position));
    from.erase(position);
}

} // namespace

char const* to_string(entry_health health)
{
    switch (health)
    {
    case entry_health::alive:
        return "alive";
    case entry_health::suspect:
        return "suspect";
    case entry_health::dead:
        return "dead";
    }
    return "invalid";
}

char const* to_string(entry_result result)
{
    switch (result)
    {
    case entry_result::added:
        return "added";
    case entry_result::advanced:
        return "advanced";
    case entry_result::marked_leaving:
        return "marked_leaving";
    case entry_result::unchanged:
        return "unchanged";
    case entry_result::stale:
        return "stale";
    case entry_result::self:
        return "self";
    case entry_result::not_found:
        return "not_found";
    case entry_result::full:
        return "full";
    }
    return "invalid";
}

entry_directory::entry_directory(entry_record own_entry, entry_directory_options initial)
    : self(std::move(own_entry))
    , options(initial)
{
}

void entry_directory::advance_heartbeat(generation current, std::uint32_t open_requests)
{
    this->self.heartbeat = heartbeat_count(this->self.heartbeat.value() + 1);
    this->self.generation = current;
    this->self.open_requests = open_requests;
}

void entry_directory::set_pass_through(network_address address, std::map<account_id, double> demand)
{
    this->self.pass_through = std::move(address);
    this->self.demand = std::move(demand);
}

void entry_directory::set_engine_work(engine_work_by_service work)
{
    this->self.engine_work = std::move(work);
}

entry_result entry_directory::set_leaving(time_point now, vm_id const& vm)
{
    auto const found = this->rows.find(vm);
    if (vm != this->self.vm && found == this->rows.end())
        return entry_result::not_found;
    auto& entry = vm == this->self.vm ? this->self : found->second.record;
    if (vm != this->self.vm && this->health_of(now, found->second) == entry_health::dead)
        return entry_result::not_found;
    if (is_leaving(entry))
        return entry_result::unchanged;
    entry.state = entry_state::leaving;
    return entry_result::marked_leaving;
}

entry_result entry_directory::merge(time_point now, entry_record const& entry)
{
    if (entry.vm == this->self.vm)
        return this->merge_self(entry);
    auto const found = this->rows.find(entry.vm);
    if (found == this->rows.end())
    {
        if (this->rows.size() >= this->options.max_rows && !this->evict_oldest_dead(now))
            return entry_result::full;
        this->rows[entry.vm] = first_row(now, entry);
        return entry_result::added;
    }
    auto& row = found->second;
    if (entry.incarnation < row.record.incarnation)
        return entry_result::stale;
    if (entry.incarnation > row.record.incarnation)
    {
        row = first_row(now, entry);
        return entry_result::added;
    }
    return this->update(now, row, entry);
}

entry_directory::stored_row entry_directory::first_row(time_point now, entry_record const& entry)
{
    auto const sent_at = now - entry.heartbeat_age;
    stored_row row{entry, sent_at, sent_at, false};
    row.record.heartbeat_age = duration::zero();
    return row;
}

entry_directory::stored_row entry_directory::next_row(time_point now, stored_row const& row,
                                                      entry_record const& entry) const
{
    auto next = first_row(now, entry);
    auto const counts_from = std::min(now, next.heartbeat_sent_at + this->options.gossip_allowance);
    next.last_heartbeat_at = std::max(row.last_heartbeat_at, counts_from);
    next.was_reported_dead =
        row.was_reported_dead && this->health_of(now, next) == entry_health::dead;
    return next;
}

entry_record entry_directory::record_to_send(time_point now, stored_row const& row)
{
    auto record = row.record;
    record.heartbeat_age = now - row.heartbeat_sent_at;
    return record;
}

entry_result entry_directory::update(time_point now, stored_row& row, entry_record const& entry)
{
    auto const was_leaving = is_leaving(row.record);
    auto const becomes_leaving = !was_leaving && is_leaving(entry);
    auto const is_newer = entry.heartbeat > row.record.heartbeat;
    auto const is_equal = entry.heartbeat == row.record.heartbeat;
    if (is_newer)
        row = this->next_row(now, row, entry);
    if (was_leaving || becomes_leaving)
        row.record.state = entry_state::leaving;
    if (becomes_leaving)
        return entry_result::marked_leaving;
    if (is_newer)
        return entry_result::advanced;
    return is_equal ? entry_result::unchanged : entry_result::stale;
}

entry_result entry_directory::merge_self(entry_record const& entry)
{
    // When the wall clock was set back before a restart, the rows of the earlier run have a higher
    // incarnation and would otherwise hide those of this one.
    if (entry.incarnation > this->self.incarnation)
    {
        this->self.incarnation = incarnation(entry.incarnation.value() + 1);
        return entry_result::self;
    }
    if (entry.incarnation < this->self.incarnation)
        return entry_result::stale;
    if (entry.heartbeat > this->self.heartbeat)
        this->self.heartbeat = heartbeat_count(entry.heartbeat.value() + 1);
    if (is_leaving(entry) && !is_leaving(this->self))
    {
        this->self.state = entry_state::leaving;
        return entry_result::marked_leaving;
    }
    return entry_result::self;
}

entry_merge_summary entry_directory::merge(time_point now, std::vector<entry_record> const& entries)
{
    entry_merge_summary summary;
    for (auto const& entry : entries)
    {
        auto const result = this->merge(now, entry);
        ++summary.results[result];
        auto const is_new_leaving = result == entry_result::added && is_leaving(entry);
        if (result == entry_result::marked_leaving || is_new_leaving)
            summary.became_leaving.push_back(entry);
        if (result == entry_result::marked_leaving && entry.vm == this->self.vm)
            summary.self_marked_leaving = true;
    }
    return summary;
}

std::vector<entry_record> entry_directory::digest(time_point now) const
{
    std::vector<entry_record> out{this->self};
    for (auto const& [vm, row] : this->rows)
    {
        if (this->health_of(now, row) != entry_health::dead)
            out.push_back(record_to_send(now, row));
    }
    return out;
}

std::vector<entry_record> entry_directory::gossip_peers(time_point now, random_source& random) const
{
    std::vector<entry_record> same_data_centre;
    std::vector<entry_record> other_data_centres;
    std::vector<entry_record> dead_entries;
    for (auto const& [vm, row] : this->rows)
    {
        if (this->health_of(now, row) == entry_health::dead)
            dead_entries.push_back(row.record);
        else if (row.record.data_centre == this->self.data_centre)
            same_data_centre.push_back(row.record);
        else
            other_data_centres.push_back(row.record);
    }
    std::vector<entry_record> peers;
    move_random_peer(same_data_centre, peers, random);
    if (!dead_entries.empty() && random.below(dead_peer_interval) == 0)
        move_random_peer(dead_entries, peers, random);
    else
        move_random_peer(other_data_centres, peers, random);
    for (auto* rest : {&other_data_centres, &same_data_centre, &dead_entries})
    {
        while (peers.size() < 2 && !rest->empty())
            move_random_peer(*rest, peers, random);
    }
    return peers;
}

std::vector<entry_record> entry_directory::live(time_point now) const
{
    std::vector<entry_record> out{this->self};
    for (auto const& [vm, row] : this->rows)
    {
        if (this->health_of(now, row) != entry_health::dead)
            out.push_back(row.record);
    }
    return out;
}

std::vector<vm_id> entry_directory::live_peers(time_point now) const
{
    std::vector<vm_id> peers;
    peers.reserve(this->rows.size());
    for (auto const& [vm, row] : this->rows)
    {
        if (this->health_of(now, row) != entry_health::dead)
            peers.push_back(vm);
    }
    return peers;
}

network_address entry_directory::control_address(vm_id const& vm) const
{
    auto const found = this->rows.find(vm);
    return found == this->rows.end() ? network_address() : found->second.record.control;
}

std::vector<entry_status> entry_directory::all(time_point now) const
{
    std::vector<entry_status> out{{this->self, entry_health::alive, duration::zero()}};
    for (auto const& [vm, row] : this->rows)
        out.push_back({row.record, this->health_of(now, row), now - row.last_heartbeat_at});
    return out;
}

std::optional<entry_status> entry_directory::find(time_point now, vm_id const& vm) const
{
    if (vm == this->self.vm)
        return entry_status{this->self, entry_health::alive, duration::zero()};
    auto const found = this->rows.find(vm);
    if (found == this->rows.end())
        return std::nullopt;
    auto const& row = found->second;
    return entry_status{record_to_send(now, row), this->health_of(now, row),
                        now - row.last_heartbeat_at};
}

std::vector<entry_record> entry_directory::list_for(time_point now, std::string_view caller,
                                                    std::size_t limit) const
{
    auto list = spread_over_data_centres(rendezvous_order(this->alive_and_serving(now), caller));
    if (list.size() > limit)
        list.resize(limit);
    return list;
}

std::optional<entry_record> entry_directory::companion_for(time_point now,
                                                           std::string_view key) const
{
    std::optional<entry_record> in_own_data_centre;
    for (auto const& entry : rendezvous_order(this->alive_and_serving(now), key))
    {
        if (entry.vm == this->self.vm)
            continue;
        if (entry.data_centre != this->self.data_centre)
            return entry;
        if (!in_own_data_centre)
            in_own_data_centre = entry;
    }
    return in_own_data_centre;
}

std::vector<vm_id> entry_directory::cloud_pollers(time_point now,
                                                  data_centre_id const& data_centre) const
{
    std::vector<entry_record> candidates;
    for (auto const& status : this->all(now))
    {
        if (status.health == entry_health::alive && status.record.data_centre == data_centre)
            candidates.push_back(status.record);
    }
    auto ordered = rendezvous_order(std::move(candidates), data_centre.value());
    // A leaving entry may stop at any moment, so it polls only when too few others are alive.
    std::stable_partition(ordered.begin(), ordered.end(),
                          [](auto const& entry) { return !is_leaving(entry); });
    std::vector<vm_id> pollers;
    for (auto const& entry : ordered)
    {
        if (pollers.size() < this->options.max_cloud_pollers)
            pollers.push_back(entry.vm);
    }
    return pollers;
}

bool entry_directory::is_cloud_poller(time_point now) const
{
    auto const pollers = this->cloud_pollers(now, this->self.data_centre);
    return std::find(pollers.begin(), pollers.end(), this->self.vm) != pollers.end();
}

std::vector<vm_id> entry_directory::expire(time_point now)
{
    this->compensate_local_pause(now);
    std::vector<vm_id> newly_dead;
    for (auto& [vm, row] : this->rows)
    {
        if (row.was_reported_dead || this->health_of(now, row) != entry_health::dead)
            continue;
        row.was_reported_dead = true;
        newly_dead.push_back(vm);
    }
    std::erase_if(this->rows, [&](auto const& item)
                  { return now - item.second.last_heartbeat_at >= this->options.dead_retention; });
    return newly_dead;
}

void entry_directory::compensate_local_pause(time_point now)
{
    // Without this, an entry that was paused for some seconds would consider all others dead.
    auto const pause = this->last_expire ? now - *this->last_expire : duration::zero();
    this->last_expire = now;
    if (pause < this->options.suspect_after)
        return;
    for (auto& [vm, row] : this->rows)
        row.last_heartbeat_at += pause;
}

entry_health entry_directory::health_of(time_point now, stored_row const& row) const
{
    auto const silence = now - row.last_heartbeat_at;
    if (silence >= this->options.dead_after)
        return entry_health::dead;
    return silence >= this->options.suspect_after ? entry_health::suspect : entry_health::alive;
}

bool entry_directory::evict_oldest_dead(time_point now)
{
    auto const oldest =
        std::min_element(this->rows.begin(), this->rows.end(),
                         [](auto const& left, auto const& right) {
                             return left.second.last_heartbeat_at < right.second.last_heartbeat_at;
                         });
    if (oldest == this->rows.end() || this->health_of(now, oldest->second) != entry_health::dead)
        return false;
    this->rows.erase(oldest);
    return true;
}

std::vector<entry_record> entry_directory::alive_and_serving(time_point now) const
{
    std::vector<entry_record> out;
    for (auto const& status : this->all(now))
    {
        if (status.health == entry_health::alive && !is_leaving(status.record))
            out.push_back(status.record);
    }
    return out;
}

} // namespace lagoonladder::connection
