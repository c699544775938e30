#ifndef LAGOONLADDER_CONNECTION_ENDPOINT_DIRECTORY_HPP
#define LAGOONLADDER_CONNECTION_ENDPOINT_DIRECTORY_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <lagoonladder/connection/endpoint_record.hpp>

namespace lagoonladder::connection
{

struct endpoint_directory_options
{
    /// How long a row stays valid after its last renewal.
    duration lease = seconds(5);
    /// Extra lease of rows received by gossip, because renewals arrive at uneven intervals. Also
    /// the age up to which a newer row of a known endpoint, received from another entry, counts as
    /// sent when it arrives.
    duration gossip_allowance = seconds(2);
    /// How long an expired or removed row is kept as a tombstone, so that a delayed digest
    /// cannot add it again.
    duration tombstone_retention = std::chrono::minutes(10);
    /// Maximum number of rows, tombstones included.
    std::size_t max_rows = 8192;
};

enum class endpoint_result
{
    /// The endpoint was unknown, or the row is of a newer incarnation.
    added,
    /// A newer row of the same incarnation without a change of state.
    renewed,
    /// The row changed its state to leaving.
    marked_leaving,
    /// The row has the known sequence; the lease was not extended.
    unchanged,
    /// The row is older than the known one or of an earlier incarnation; nothing changed.
    stale,
    /// The known row is a tombstone (expired or removed) and the received one is not newer;
    /// the endpoint stays unlisted.
    tombstoned,
    not_found,
    /// The directory is full; nothing changed.
    full
};

char const* to_string(endpoint_result result);

/// Announcement by the cloud that it reclaims a VM or all VMs of a zone at `deadline`.
struct reclaim_notice
{
    /// Empty when the notice applies to the entire zone.
    vm_id vm;
    zone_id zone;
    time_point deadline{};
    /// Whether a notice for a zone applies to reclaimable endpoints only, not to on-demand ones.
    bool reclaimable_only = false;
};

/// Result of merging a digest.
struct endpoint_merge_summary
{
    /// Number of rows by result.
    std::map<endpoint_result, std::size_t> results;
    /// Received rows that changed a known row to leaving or added a leaving one. The entry
    /// forwards them to other entries without waiting for the next gossip interval.
    std::vector<endpoint_record> became_leaving;
};

/// Endpoints that announced themselves to this entry or were received from other entries by
/// gossip. Of two rows of an endpoint, the one with the higher (incarnation, sequence) wins.
/// Leaving wins a tie and lasts for the incarnation. Merging is therefore commutative and
/// idempotent: rows that arrive in any order give the same directory.
class endpoint_directory
{
public:
    explicit endpoint_directory(endpoint_directory_options options = {});

    /// Merges a row sent by the endpoint itself: first announcement, renewal or leaving.
    endpoint_result announce(time_point now, endpoint_record endpoint);

    /// Renews the lease and updates the load; the other fields of the row stay. Returns
    /// not_found when the row of this incarnation is not known.
    endpoint_result renew(time_point now, endpoint_id const& id, incarnation incarnation,
                          std::uint64_t sequence, load_report const& load);

    /// Marks the current incarnation as leaving.
    endpoint_result leave(time_point now, endpoint_id const& id);

    /// Removes an endpoint on its own request. The row is no longer listed here, and gossip
    /// carries it as leaving until its lease ends.
    endpoint_result remove(time_point now, endpoint_id const& id);

    /// Merges rows received from another entry.
    endpoint_result merge(time_point now, endpoint_record endpoint);
    endpoint_merge_summary merge(time_point now, std::vector<endpoint_record> const& endpoints);

    /// Marks all endpoints of the VM or zone as leaving, also those that are announced or
    /// received by gossip later, before the deadline. Returns the ids that became leaving.
    std::vector<endpoint_id> apply(time_point now, reclaim_notice const& notice);

    /// Turns rows with an expired lease into tombstones and drops old tombstones and notices.
    /// Returns the ids of rows that expired since the last call.
    std::vector<endpoint_id> expire(time_point now);

    /// Listed rows: those with a valid lease that were not removed, leaving ones included.
    std::vector<endpoint_record> live(time_point now) const;
    std::optional<endpoint_record> find(time_point now, endpoint_id const& id) const;
    /// Returns the row with a valid lease that gossip carries, also that of a removed endpoint.
    std::optional<endpoint_record> find_gossiped(time_point now, endpoint_id const& id) const;

    /// Time at which the endpoint's VM is reclaimed; no value without a reclaim notice.
    std::optional<time_point> reclaim_deadline(endpoint_id const& id) const;

    /// Version of the directory; incremented with every change of a row.
    std::uint64_t version() const { return this->current_version; }

    /// Rows with a valid lease that changed after `version`; 0 selects all. Includes removed
    /// rows that gossip still carries as leaving.
    std::vector<endpoint_record> changed_since(time_point now, std::uint64_t version) const;

    /// Number of rows, tombstones included.
    std::size_t size() const { return this->rows.size(); }

private:
    struct stored_row
    {
        endpoint_record record;
        time_point lease_until{};
        /// Time at which an entry received the record from the endpoint, as far as known.
        time_point renewed_at{};
        /// The endpoint requested its removal; only gossip uses the row until the lease ends.
        bool is_removed = false;
        bool is_expiry_reported = false;
        /// Deadline of the last reclaim notice that applied to the row.
        std::optional<time_point> reclaim_deadline;
        std::uint64_t version = 0;
    };

    /// Record of the row with the times in it as of `now`.
    static endpoint_record record_to_list(time_point now, stored_row const& row);
    /// Record of the row with the age of its renewal, as it is sent to other entries.
    static endpoint_record record_to_send(time_point now, stored_row const& row);
    bool is_listed(time_point now, stored_row const& row) const;
    /// Inserts or updates the row of the endpoint.
    endpoint_result put(time_point now, endpoint_record endpoint, duration lease);
    endpoint_result insert(time_point now, endpoint_record endpoint, duration lease);
    /// Updates the row with a record of the same incarnation.
    endpoint_result update(time_point now, stored_row& row, endpoint_record endpoint,
                           duration lease);
    void replace(time_point now, stored_row& row, endpoint_record endpoint, duration lease);
    void mark_leaving(stored_row& row);
    void apply_notice(stored_row& row, reclaim_notice const& notice);
    /// Frees the place of the row that expired first; false when no row has expired.
    bool evict_oldest_expired(time_point now);
    void assign_next_version(stored_row& row);

    endpoint_directory_options options;
    std::map<endpoint_id, stored_row> rows;
    std::vector<reclaim_notice> notices;
    std::uint64_t current_version = 0;
};

} // namespace lagoonladder::connection

#endif
