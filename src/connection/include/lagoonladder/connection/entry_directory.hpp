#ifndef LAGOONLADDER_CONNECTION_ENTRY_DIRECTORY_HPP
#define LAGOONLADDER_CONNECTION_ENTRY_DIRECTORY_HPP

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include <lagoonladder/connection/entry_record.hpp>

namespace lagoonladder::connection
{

struct entry_directory_options
{
    duration suspect_after = seconds(3);
    duration dead_after = seconds(6);
    /// How long a dead row is remembered, so that a late digest does not bring it back.
    duration forget_after = std::chrono::minutes(10);
    std::size_t max_rows = 1024;
    /// Entries of a data centre that poll the cloud API.
    std::size_t pollers = 2;
};

enum class entry_health
{
    alive,
    suspect,
    dead
};

char const* to_string(entry_health health);

enum class entry_result
{
    /// A new entry, or one that restarted.
    added,
    /// A newer heartbeat.
    advanced,
    /// The row is now leaving and was not before.
    marked_leaving,
    unchanged,
    /// Older than the known row; nothing changed.
    stale,
    /// Someone else's row about this entry; `own()` may have changed to supersede it.
    self,
    not_found,
    /// The directory is full; nothing changed.
    full
};

char const* to_string(entry_result result);

struct entry_merge_summary
{
    std::map<entry_result, std::size_t> results;
    /// Received rows by which a row became leaving; such news is sent on without waiting for
    /// the next interval.
    std::vector<entry_record> became_leaving;
    /// Whether another entry's row said that this entry is leaving, and it was not before.
    bool self_marked_leaving = false;
};

/// An entry with its health as seen from here.
struct entry_status
{
    entry_record record;
    entry_health health = entry_health::alive;
    /// Since the last new heartbeat, by the local clock.
    duration time_since_heartbeat{};
};

/// Membership of entries by gossip: rows with heartbeat counters, merged by the
/// higher (incarnation, heartbeat); leaving wins a tie and lasts for the incarnation.
/// Health follows from the local receive times of new heartbeats.
class entry_directory
{
public:
    explicit entry_directory(entry_record own, entry_directory_options options = {});

    entry_record const& own() const { return this->self; }

    /// Call once per gossip interval: counts the own heartbeat up and takes over the figures.
    void advance_heartbeat(generation current, std::uint32_t open_requests);

    /// Address for callers of pass-through routes, empty while none are taken, and the
    /// demand of their accounts.
    void set_pass_through(network_address address, std::map<account_id, double> demand);

    /// Marks this or another entry as leaving.
    entry_result set_leaving(time_point now, vm_id const& vm);

    entry_result merge(time_point now, entry_record const& row);
    entry_merge_summary merge(time_point now, std::vector<entry_record> const& rows);

    /// Rows for a digest: the own row and all that are not dead.
    std::vector<entry_record> digest(time_point now) const;

    /// Up to two peers for this interval: one in the own data centre and one outside. Now
    /// and then a dead entry takes the place of a live one, so that a healed partition is found.
    std::vector<entry_record> gossip_peers(time_point now, random_source& random) const;

    /// All entries that are not dead, this one included.
    std::vector<entry_record> live(time_point now) const;
    /// The other entries that are not dead.
    std::vector<vm_id> live_peers(time_point now) const;
    /// Where daemons reach another entry; empty for an unknown one.
    network_address control_address(vm_id const& vm) const;
    /// All known entries with their health, this one included.
    std::vector<entry_status> all(time_point now) const;
    std::optional<entry_status> find(time_point now, vm_id const& vm) const;

    /// Entries for a caller, best first: by rendezvous hash of caller and entry, data centres in
    /// turn, without leaving, suspect and dead entries.
    std::vector<entry_record> list_for(time_point now, std::string_view caller,
                                       std::size_t limit = 8) const;

    /// Companion for a request: a live, serving entry in another data centre, chosen by rendezvous
    /// hash of `key`; one in the own data centre when there is no other; no value when alone.
    std::optional<entry_record> companion_for(time_point now, std::string_view key) const;

    /// Entries of a data centre that poll the cloud API, by rendezvous hash.
    std::vector<vm_id> cloud_pollers(time_point now, data_centre_id const& data_centre) const;
    bool is_cloud_poller(time_point now) const;

    /// Call about once a second. Drops rows that have been dead for a long time and returns
    /// the ids of entries that became dead since the last call. A pause between two calls
    /// of suspect_after or more counts as a stop of this process and not as the others' time_since_heartbeat.
    std::vector<vm_id> expire(time_point now);

private:
    struct stored_row
    {
        entry_record record;
        time_point heard{};
        bool was_reported_dead = false;
    };

    entry_result merge_self(entry_record const& row);
    entry_result advance(time_point now, stored_row& known, entry_record const& row);
    void allow_for_own_pause(time_point now);
    entry_health health_of(time_point now, stored_row const& known) const;
    bool make_room(time_point now);
    /// Serving entries that are alive, this one included.
    std::vector<entry_record> eligible(time_point now) const;

    entry_record self;
    entry_directory_options options;
    std::map<vm_id, stored_row> rows;
    std::optional<time_point> last_expire;
};

} // namespace lagoonladder::connection

#endif
