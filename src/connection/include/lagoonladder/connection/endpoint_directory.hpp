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
    /// Lease of a row after its last renewal.
    duration lease = seconds(5);
    /// Added to the lease of rows that arrive by gossip, because renewals arrive unevenly.
    duration gossip_allowance = seconds(2);
    /// How long an expired or removed row is remembered, so that a late digest does
    /// not bring it back.
    duration tombstone_retention = std::chrono::minutes(10);
    /// Rows including remembered ones.
    std::size_t max_rows = 8192;
};

enum class directory_result
{
    /// A new row, or a new incarnation.
    added,
    /// A newer row of the same incarnation without a change of state.
    renewed,
    /// The row is now leaving and was not before.
    marked_leaving,
    /// The same row as before; the lease was not extended.
    unchanged,
    /// Older than the known row, or the row of an earlier incarnation; nothing changed.
    stale,
    /// The row expired or was removed and this is not a newer one; nothing changed.
    gone,
    not_found,
    /// The directory is full; nothing changed.
    full
};

char const* to_string(directory_result result);

/// Notice that VMs are taken away at `deadline`.
struct reclaim_notice
{
    /// Empty when the notice is for the whole zone.
    vm_id vm;
    zone_id zone;
    time_point deadline{};
    /// Whether on-demand endpoints of the zone stay.
    bool reclaimable_only = false;
};

struct merge_summary
{
    std::map<directory_result, std::size_t> results;
    /// Received rows by which a row became leaving; such news is sent on without waiting for
    /// the next interval.
    std::vector<endpoint_record> became_leaving;
};

/// Endpoints as announced here and learned by gossip. The row with the higher
/// (incarnation, sequence) wins, leaving wins a tie and lasts for the incarnation,
/// so that merging in any order gives the same rows.
class endpoint_directory
{
public:
    explicit endpoint_directory(endpoint_directory_options options = {});

    /// A row from the endpoint itself: first announcement, renewal or leaving.
    directory_result announce(time_point now, endpoint_record row);

    /// Renews the lease and the load without the rest of the row.
    directory_result renew(time_point now, endpoint_id const& id, incarnation incarnation,
                           std::uint64_t sequence, load_report const& load);

    /// Marks the current incarnation as leaving.
    directory_result leave(time_point now, endpoint_id const& id);

    /// The endpoint asked to be removed. The row is no longer listed here and
    /// spreads as leaving until its lease ends.
    directory_result remove(time_point now, endpoint_id const& id);

    /// Rows from another entry.
    directory_result merge(time_point now, endpoint_record row);
    merge_summary merge(time_point now, std::vector<endpoint_record> const& rows);

    /// Marks all endpoints of the VM or zone as leaving, and those that are announced or
    /// learned before the deadline. Returns the ids that became leaving.
    std::vector<endpoint_id> apply(time_point now, reclaim_notice const& notice);

    /// Ends leases. Returns the ids of rows that expired since the last call.
    std::vector<endpoint_id> expire(time_point now);

    /// Rows with a valid lease, leaving ones included.
    std::vector<endpoint_record> live(time_point now) const;
    std::optional<endpoint_record> find(time_point now, endpoint_id const& id) const;

    /// When the endpoint's VM is taken away, as far as a notice said so.
    std::optional<time_point> leave_deadline(endpoint_id const& id) const;

    /// Counts every change of a row.
    std::uint64_t version() const { return this->current_version; }

    /// Rows with a valid lease that changed after `version`; 0 gives all. Removed rows that
    /// still spread are included.
    std::vector<endpoint_record> changed_since(time_point now, std::uint64_t version) const;

    /// Number of rows including remembered ones.
    std::size_t size() const { return this->rows.size(); }

private:
    struct stored_row
    {
        endpoint_record record;
        time_point lease_until{};
        /// The endpoint asked for it; the row only spreads until the lease ends.
        bool is_removed = false;
        bool is_expiry_reported = false;
        std::optional<time_point> leave_by;
        std::uint64_t version = 0;
    };

    bool is_listed(time_point now, stored_row const& known) const;
    directory_result put(time_point now, endpoint_record row, duration lease);
    directory_result insert(time_point now, endpoint_record row, duration lease);
    directory_result update(time_point now, stored_row& known, endpoint_record row, duration lease);
    void replace(time_point now, stored_row& known, endpoint_record row, duration lease);
    void mark_leaving(stored_row& known);
    void apply_notice(stored_row& known, reclaim_notice const& notice);
    bool make_room(time_point now);
    void touch(stored_row& known);

    endpoint_directory_options options;
    std::map<endpoint_id, stored_row> rows;
    std::vector<reclaim_notice> notices;
    std::uint64_t current_version = 0;
};

} // namespace lagoonladder::connection

#endif
