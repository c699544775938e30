#ifndef LAGOONLADDER_CONNECTION_LIMIT_SHARING_HPP
#define LAGOONLADDER_CONNECTION_LIMIT_SHARING_HPP

#include <cstdint>
#include <optional>

#include <lagoonladder/base.hpp>

namespace lagoonladder::connection
{

struct limit_sharing_options
{
    /// Time of uninterrupted contact with a quorum after which entries that are dead no longer
    /// count. At least the time after which an entry without heartbeats counts as dead, so that the
    /// heartbeats of the others have arrived after a cut.
    duration settle_time = seconds(6);
};

/// Portion of the limits of the whole system, such as account quotas, that this entry has.
struct limit_portion
{
    /// Number of entries among which the limits are divided.
    std::uint32_t entries = 1;
    /// Whether this entry may use what accrues to its portion.
    bool may_accrue = true;
};

/// Determines among how many entries the limits of the whole system are divided, so that the
/// portions of all entries together stay within the limits, also while entries are cut off from
/// each other. Only entries in contact with a quorum divide the portions of dead entries among
/// themselves; an entry that has lost the quorum and most of the other entries may be counted as
/// dead by them, and its portion no longer accrues. Not thread-safe.
class limit_sharing
{
public:
    explicit limit_sharing(limit_sharing_options options = {});

    /// Updates the number of entries that are not dead, this one included, whether they serve calls
    /// or not: a daemon that starts again soon uses its portion.
    limit_portion update(time_point now, std::uint32_t live_entries, bool has_quorum);

private:
    limit_sharing_options options;
    std::uint32_t counted_entries = 1;
    std::optional<time_point> quorum_since;
};

} // namespace lagoonladder::connection

#endif
