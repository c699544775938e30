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
    /// Time without a new heartbeat after which an entry is suspect.
    duration suspect_after = seconds(3);
    /// Time without a new heartbeat after which an entry is dead.
    duration dead_after = seconds(6);
    /// Age up to which a newer heartbeat of a known entry, received from another entry, counts as
    /// sent when it arrives; in large systems it is passed on several times first. Time beyond
    /// counts as time without a heartbeat, so that an entry is dead everywhere `dead_after` plus
    /// this time after its last heartbeat.
    duration gossip_allowance = seconds(3);
    /// How long the row of a dead entry is kept, counted from its last heartbeat, so that a
    /// delayed digest cannot add it again.
    duration dead_retention = std::chrono::minutes(10);
    std::size_t max_rows = 1024;
    /// Maximum number of entries of a data centre that poll the cloud API.
    std::size_t max_cloud_pollers = 2;
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
    /// The entry was unknown or has restarted.
    added,
    /// The row has a newer heartbeat.
    advanced,
    /// The row changed its state to leaving.
    marked_leaving,
    unchanged,
    /// The row is older than the known one; nothing changed.
    stale,
    /// The row is about this entry itself; `own()` may have changed to supersede it.
    self,
    not_found,
    /// The directory is full; nothing changed.
    full
};

char const* to_string(entry_result result);

/// Result of merging a digest.
struct entry_merge_summary
{
    /// Number of rows by result.
    std::map<entry_result, std::size_t> results;
    /// Received rows that changed a known row to leaving or added a leaving one. The entry
    /// forwards them to other entries without waiting for the next gossip interval.
    std::vector<entry_record> became_leaving;
    /// Whether a row of this entry, received from another entry, changed this entry to leaving.
    bool self_marked_leaving = false;
};

/// An entry and its health as seen by this entry.
struct entry_status
{
    entry_record record;
    entry_health health = entry_health::alive;
    /// Time without a new heartbeat by which `health` is determined.
    duration time_since_heartbeat{};
};

/// Gossip membership of the entries. Each row has a heartbeat counter. Of two rows of an entry,
/// the one with the higher (incarnation, heartbeat) wins; leaving wins a tie and lasts for the
/// incarnation. The health of an entry follows from the local time at which its last new
/// heartbeat arrived and from the heartbeat's age at that time: an entry that hears of another one
/// for the first time does not believe longer in it than those from which it has the row.
class entry_directory
{
public:
    explicit entry_directory(entry_record own_entry, entry_directory_options options = {});

    /// Row of this entry.
    entry_record const& own() const { return this->self; }

    /// Increments the heartbeat of the own row and updates its generation and number of open
    /// requests. To be called once per gossip interval.
    void advance_heartbeat(generation current, std::uint32_t open_requests);

    /// Sets the address for callers of pass-through routes (empty while this entry accepts none)
    /// and the demand of the accounts at this entry in tokens per second.
    void set_pass_through(network_address address, std::map<account_id, double> demand);
    /// Sets the work that this entry gives to engines.
    void set_engine_work(engine_work_by_service work);

    /// Marks this or another entry as leaving. Returns not_found for a dead entry.
    entry_result set_leaving(time_point now, vm_id const& vm);

    entry_result merge(time_point now, entry_record const& entry);
    entry_merge_summary merge(time_point now, std::vector<entry_record> const& entries);

    /// Rows for a digest: the own row and those of all entries that are not dead.
    std::vector<entry_record> digest(time_point now) const;

    /// Selects up to two random peers for a gossip interval: one in the own data centre and one
    /// in another. Occasionally a dead entry replaces the latter, so that the entries find each
    /// other again after a network partition.
    std::vector<entry_record> gossip_peers(time_point now, random_source& random) const;

    /// All entries that are not dead, this one included.
    std::vector<entry_record> live(time_point now) const;
    /// The other entries that are not dead.
    std::vector<vm_id> live_peers(time_point now) const;
    /// Address at which daemons reach another entry; empty when the entry is unknown.
    network_address control_address(vm_id const& vm) const;
    /// All known entries with their health, this one included.
    std::vector<entry_status> all(time_point now) const;
    std::optional<entry_status> find(time_point now, vm_id const& vm) const;

    /// Entries for a caller, preferred ones first: ordered by rendezvous hash of caller and
    /// entry, alternating between data centres. Leaving, suspect and dead entries are omitted.
    std::vector<entry_record> list_for(time_point now, std::string_view caller,
                                       std::size_t limit = 8) const;

    /// Companion for a request: an entry that is alive and serving, chosen by rendezvous hash of
    /// `key`, in another data centre if possible, else in the own one. No value when there is no
    /// such entry.
    std::optional<entry_record> companion_for(time_point now, std::string_view key) const;

    /// Entries of a data centre that poll the cloud API, chosen by rendezvous hash.
    std::vector<vm_id> cloud_pollers(time_point now, data_centre_id const& data_centre) const;
    bool is_cloud_poller(time_point now) const;

    /// Drops rows older than dead_retention and returns the ids of entries that became dead since
    /// the last call. To be called about once per second: when two calls are suspect_after or more
    /// apart, this process is taken to have been paused, and the pause does not count as time
    /// without heartbeats.
    std::vector<vm_id> expire(time_point now);

private:
    struct stored_row
    {
        entry_record record;
        /// Time by which the health is determined.
        time_point last_heartbeat_at{};
        /// Time at which the entry sent its last heartbeat, as far as known. Unlike
        /// `last_heartbeat_at`, pauses of this process do not change it.
        time_point heartbeat_sent_at{};
        bool was_reported_dead = false;
    };

    entry_result merge_self(entry_record const& entry);
    /// Row of an entry or incarnation that was unknown.
    static stored_row first_row(time_point now, entry_record const& entry);
    /// Row that replaces the one of the same incarnation with an older heartbeat.
    stored_row next_row(time_point now, stored_row const& row, entry_record const& entry) const;
    /// Record of the row with the age of its heartbeat, as it is sent to other entries.
    static entry_record record_to_send(time_point now, stored_row const& row);
    /// Updates the row with a record of the same incarnation.
    entry_result update(time_point now, stored_row& row, entry_record const& entry);
    void compensate_local_pause(time_point now);
    entry_health health_of(time_point now, stored_row const& row) const;
    /// Frees the place of the row with the oldest heartbeat; false when that entry is not dead.
    bool evict_oldest_dead(time_point now);
    /// Entries that are alive and not leaving, this one included.
    std::vector<entry_record> alive_and_serving(time_point now) const;

    entry_record self;
    entry_directory_options options;
    std::map<vm_id, stored_row> rows;
    std::optional<time_point> last_expire;
};

} // namespace lagoonladder::connection

#endif
