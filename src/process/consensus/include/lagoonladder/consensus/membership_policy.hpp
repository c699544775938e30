#ifndef LAGOONLADDER_CONSENSUS_MEMBERSHIP_POLICY_HPP
#define LAGOONLADDER_CONSENSUS_MEMBERSHIP_POLICY_HPP

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <lagoonladder/consensus/node.hpp>

namespace lagoonladder::consensus
{

/// Source of signs of life of VMs other than their replies to this leader. Each VM has one all the
/// time, so that a new leader knows how long another VM has been silent.
class liveness_source
{
public:
    virtual ~liveness_source() = default;

    /// Returns the time since the last sign of life of the VM; no value for an unknown VM.
    virtual std::optional<duration> time_since_heartbeat(time_point now, vm_id const& vm) const = 0;
};

struct membership_policy_options
{
    /// Time without any sign of life of its VM after which a voter that does not reply either is
    /// removed. Its successor may already count as a voter, and another loss may follow soon.
    duration silent_vm_timeout = seconds(3);
    /// Minimum time without a reply to this leader after which a voter of a silent VM is removed.
    duration min_inactive_time = seconds(1);
    /// Time without a reply to this leader after which a voter is removed although its VM gives
    /// signs of life. Longer than a usual network partition or a stall of a disk.
    duration dead_voter_timeout = seconds(10);
    /// Active voters that have to remain when a dead voter is removed, so that one more may fail.
    std::size_t min_active_voters = 3;
    /// Number of disks that may be lost at the same time. No voter is removed for its silence when
    /// the group would then bear fewer lost disks than this, since the voter may return with its
    /// disk.
    std::size_t tolerated_disk_losses = 1;
};

/// Reason for which the policy proposes a change.
enum class change_reason
{
    /// A learner has caught up.
    caught_up,
    /// The voter's VM lost its log, and its new voter is a member.
    replaced,
    /// The voter does not reply, and its VM gives no sign of life.
    silent,
    /// The voter has not replied for a long time.
    unresponsive
};

char const* to_string(change_reason reason);

struct wanted_change
{
    membership_change change;
    change_reason reason = change_reason::caught_up;
};

/// Decides which membership changes a leader proposes: it promotes learners that have caught up,
/// and removes voters that have lost their log or do not return. Not thread-safe.
class membership_policy
{
public:
    /// `liveness` must outlive the policy.
    explicit membership_policy(liveness_source const& liveness,
                               membership_policy_options options = {});

    /// Returns the changes to propose, the preferred one first; the node refuses those that are not
    /// possible now. To be called on each node a few times per election timeout, since the times
    /// without replies are counted from call to call.
    std::vector<wanted_change> wanted_changes(time_point now, node const& member);

private:
    void update_activity(time_point now, std::vector<follower_status> const& followers);
    /// Returns the reason for which the member is to be removed; no value when it may return soon.
    std::optional<change_reason> removal_reason(time_point now, voter_id const& id) const;
    std::size_t active_voters(membership const& members) const;
    /// Whether the group bears the tolerated number of lost disks with one voter fewer.
    bool may_shrink(membership const& members) const;

    liveness_source const& liveness;
    membership_policy_options options;
    /// Members that do not reply to this leader, and the time since which they don't.
    std::map<voter_id, time_point> inactive_since;
};

} // namespace lagoonladder::consensus

#endif
