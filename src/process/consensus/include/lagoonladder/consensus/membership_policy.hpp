#ifndef LAGOONLADDER_CONSENSUS_MEMBERSHIP_POLICY_HPP
#define LAGOONLADDER_CONSENSUS_MEMBERSHIP_POLICY_HPP

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <lagoonladder/consensus/node.hpp>

namespace lagoonladder::consensus
{

struct membership_policy_options
{
    /// Time without a reply to this leader after which a voter is removed. Longer than a usual
    /// network partition or a stop for maintenance.
    duration dead_voter_timeout = seconds(10);
    /// Active voters that have to remain when a dead voter is removed, so that one more may fail.
    std::size_t min_active_voters = 3;
};

/// Reason for which the policy proposes a change.
enum class change_reason
{
    /// A learner has caught up.
    caught_up,
    /// The voter's VM lost its log, and its new voter is a member.
    replaced,
    /// The voter does not reply.
    silent
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
    explicit membership_policy(membership_policy_options options = {});

    /// Returns the changes to propose, the preferred one first; the node refuses those that are not
    /// possible now. To be called on each node a few times per election timeout, since the times
    /// without replies are counted from call to call.
    std::vector<wanted_change> wanted_changes(time_point now, node const& member);

private:
    void update_activity(time_point now, std::vector<follower_status> const& followers);
    bool is_dead(time_point now, voter_id const& id) const;
    std::size_t active_voters(membership const& members) const;

    membership_policy_options options;
    /// Members that do not reply to this leader, and the time since which they don't.
    std::map<voter_id, time_point> inactive_since;
};

} // namespace lagoonladder::consensus

#endif
