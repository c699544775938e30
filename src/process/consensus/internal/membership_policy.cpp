#include <lagoonladder/consensus/membership_policy.hpp>

#include <algorithm>

namespace lagoonladder::consensus
{

namespace
{

/// Whether the VM of an inactive voter has another voter, which is active. The inactive one lost
/// its log and is replaced by the other one, which joined later.
bool is_replaced(follower_status const& inactive, std::vector<follower_status> const& followers)
{
    return std::any_of(followers.begin(), followers.end(),
                       [&](auto const& other)
                       {
                           return !other.is_learner && other.is_active && other.id != inactive.id &&
                                  vm_of(other.id) == vm_of(inactive.id);
                       });
}

/// Returns how many voters may lose their disks at the same time. The others are a quorum once all
/// of them are active, and a quorum stores each entry on more disks than that.
std::size_t max_disk_losses(std::size_t voters)
{
    return (voters - 1) / 2;
}

wanted_change removal(voter_id const& id, change_reason reason)
{
    return {{membership_change::operation::remove, id, {}}, reason};
}

} // namespace

char const* to_string(change_reason reason)
{
    switch (reason)
    {
    case change_reason::caught_up:
        return "caught_up";
    case change_reason::replaced:
        return "replaced";
    case change_reason::silent:
        return "silent";
    case change_reason::unresponsive:
        return "unresponsive";
    }
    return "unknown";
}

membership_policy::membership_policy(liveness_source const& source,
                                     membership_policy_options initial)
    : liveness(source)
    , options(initial)
{
}

std::vector<wanted_change> membership_policy::wanted_changes(time_point now, node const& member)
{
    if (member.role() != role::leader)
    {
        this->inactive_since.clear();
        return {};
    }
    auto const followers = member.followers(now);
    auto const& members = member.membership();
    this->update_activity(now, followers);
    std::vector<wanted_change> wanted;
    for (auto const& follower : followers)
    {
        if (follower.is_learner && follower.is_active &&
            follower.match_index >= member.commit_index())
            wanted.push_back({{membership_change::operation::promote, follower.id, {}},
                              change_reason::caught_up});
    }
    for (auto const& follower : followers)
    {
        if (!follower.is_active && is_replaced(follower, followers))
            wanted.push_back(removal(follower.id, change_reason::replaced));
    }
    if (this->active_voters(members) < this->options.min_active_voters)
        return wanted;
    // A VM that never returns would count towards the quorum forever. One that does return joins
    // again.
    bool const may_shrink = this->may_shrink(members);
    for (auto const& follower : followers)
    {
        if (!follower.is_learner && !may_shrink)
            continue;
        if (auto const reason = this->removal_reason(now, follower.id))
            wanted.push_back(removal(follower.id, *reason));
    }
    return wanted;
}

void membership_policy::update_activity(time_point now,
                                        std::vector<follower_status> const& followers)
{
    std::map<voter_id, time_point> inactive;
    for (auto const& follower : followers)
    {
        if (follower.is_active)
            continue;
        auto const known = this->inactive_since.find(follower.id);
        inactive.emplace(follower.id, known == this->inactive_since.end() ? now : known->second);
    }
    this->inactive_since = std::move(inactive);
}

std::optional<change_reason> membership_policy::removal_reason(time_point now,
                                                               voter_id const& id) const
{
    auto const found = this->inactive_since.find(id);
    if (found == this->inactive_since.end())
        return std::nullopt;
    auto const inactive = now - found->second;
    if (inactive >= this->options.dead_voter_timeout)
        return change_reason::unresponsive;
    auto const silence = this->liveness.time_since_heartbeat(now, vm_of(id)).value_or(inactive);
    if (inactive >= this->options.min_inactive_time && silence >= this->options.silent_vm_timeout)
        return change_reason::silent;
    return std::nullopt;
}

std::size_t membership_policy::active_voters(membership const& members) const
{
    return static_cast<std::size_t>(std::count_if(
        members.voters.begin(), members.voters.end(),
        [this](auto const& voter) { return !this->inactive_since.contains(voter.first); }));
}

bool membership_policy::may_shrink(membership const& members) const
{
    auto const voters = members.voters.size();
    auto const required = std::min(this->options.tolerated_disk_losses, max_disk_losses(voters));
    return voters > 1 && max_disk_losses(voters - 1) >= required;
}

} // namespace lagoonladder::consensus
