#include <lagoonladder/consensus/membership_policy.hpp>

#include <algorithm>

namespace lagoonladder::consensus
{

namespace
{

/// Whether the VM of an inactive voter has another voter. The inactive one lost its log and is
/// replaced by the other one, which joined later.
bool is_replaced(membership const& members, follower_status const& follower)
{
    return !follower.is_active && std::any_of(members.voters.begin(), members.voters.end(),
                                              [&](auto const& voter) {
                                                  return voter.first != follower.id &&
                                                         vm_of(voter.first) == vm_of(follower.id);
                                              });
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
    }
    return "unknown";
}

membership_policy::membership_policy(membership_policy_options initial)
    : options(initial)
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
        if (is_replaced(members, follower))
            wanted.push_back(removal(follower.id, change_reason::replaced));
    }
    if (this->active_voters(members) < this->options.min_active_voters)
        return wanted;
    // A VM that never returns would count towards the quorum forever. One that does return joins
    // again.
    for (auto const& follower : followers)
    {
        if (this->is_dead(now, follower.id))
            wanted.push_back(removal(follower.id, change_reason::silent));
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

bool membership_policy::is_dead(time_point now, voter_id const& id) const
{
    auto const inactive = this->inactive_since.find(id);
    return inactive != this->inactive_since.end() &&
           now - inactive->second >= this->options.dead_voter_timeout;
}

std::size_t membership_policy::active_voters(membership const& members) const
{
    return static_cast<std::size_t>(std::count_if(
        members.voters.begin(), members.voters.end(),
        [this](auto const& voter) { return !this->inactive_since.contains(voter.first); }));
}

} // namespace lagoonladder::consensus
