#include <algorithm>

#include "node_core.hpp"

namespace lagoonladder::consensus
{

namespace
{

/// Ratio of the lease to the election timeout. The leader's clock may be 1% slow and a voter's 1%
/// fast, so the lease is shorter than the time for which the voters withhold their votes.
constexpr std::int64_t lease_numerator = 99;
constexpr std::int64_t lease_denominator = 101;

} // namespace

bool node_core::is_quorum(std::size_t count) const
{
    return count >= this->log.latest_membership().voters.size() / 2 + 1;
}

bool node_core::is_only_voter() const
{
    auto const& voters = this->log.latest_membership().voters;
    return voters.size() == 1 && voters.contains(this->options.self);
}

/// Largest value that a quorum of the voters has reached. `getter` returns no
/// value for a follower that has none.
template <class Value, class Getter>
std::optional<Value> node_core::quorum_value(Value own, Getter getter) const
{
    std::vector<Value> values;
    auto const& voters = this->log.latest_membership().voters;
    for (auto const& [id, address] : voters)
    {
        if (id == this->options.self)
            values.push_back(own);
        else if (std::optional<Value> const value = getter(this->followers.at(id)))
            values.push_back(*value);
    }
    auto const quorum = voters.size() / 2 + 1;
    if (values.size() < quorum)
        return std::nullopt;
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[quorum - 1];
}

/// Time at which the latest broadcast that a quorum has acknowledged was sent.
std::optional<time_point> node_core::quorum_acknowledged_at() const
{
    return this->quorum_value<time_point>(this->now, [](follower_progress const& follower)
                                          { return follower.acknowledged_sent_at; });
}

bool node_core::is_active(follower_progress const& follower, time_point time) const
{
    return follower.acknowledged_sent_at &&
           time < *follower.acknowledged_sent_at + this->options.election_timeout;
}

bool node_core::is_term_committed() const
{
    return this->current_hard_state.commit >= this->term_start;
}

/// No value for a node that follows no leader.
std::optional<time_point> node_core::last_quorum_contact() const
{
    if (this->role == role::leader)
        return std::max(this->leader_since, this->quorum_acknowledged_at().value_or(time_point()));
    return this->leader ? std::optional(this->last_leader_contact) : std::nullopt;
}

std::optional<time_point> node_core::quorum_contact_confirmed_at() const
{
    if (this->role == role::leader)
        return this->last_quorum_contact();
    return this->leader_contact_confirmed_at == time_point()
               ? std::nullopt
               : std::optional(this->leader_contact_confirmed_at);
}

bool node_core::has_recent_quorum(time_point time) const
{
    auto const last_contact = this->last_quorum_contact();
    return last_contact && time < *last_contact + this->options.election_timeout;
}

std::optional<time_point> node_core::commit_confirmed_at() const
{
    auto const last_contact = this->last_quorum_contact();
    if (this->role == role::leader)
        return this->is_term_committed() ? last_contact : std::nullopt;
    return last_contact ? std::optional(this->follower_commit_confirmed_at) : std::nullopt;
}

bool node_core::has_recent_commit(time_point time) const
{
    auto const confirmed_at = this->commit_confirmed_at();
    return this->has_recent_quorum(time) && confirmed_at &&
           time < *confirmed_at + this->options.election_timeout;
}

bool node_core::has_valid_lease(time_point time) const
{
    if (this->role != role::leader)
        return false;
    auto const acknowledged_at = this->quorum_acknowledged_at();
    return acknowledged_at && time < *acknowledged_at + this->options.election_timeout *
                                                            lease_numerator / lease_denominator;
}

std::vector<follower_status> node_core::follower_list(time_point time) const
{
    std::vector<follower_status> result;
    auto const add = [&](auto const& members, bool is_learner)
    {
        for (auto const& [id, address] : members)
        {
            auto const found = this->followers.find(id);
            if (found == this->followers.end())
                continue;
            auto const& follower = found->second;
            result.push_back({id, address, is_learner, follower.match_index,
                              this->is_active(follower, time),
                              follower.mode == replication_mode::snapshot});
        }
    };
    add(this->log.latest_membership().voters, false);
    add(this->log.latest_membership().learners, true);
    return result;
}

void node_core::update_followers()
{
    auto const& members = this->log.latest_membership();
    std::erase_if(this->followers, [&](auto const& item) { return !members.contains(item.first); });
    auto const add = [this](auto const& group)
    {
        for (auto const& [id, address] : group)
        {
            if (id == this->options.self)
                continue;
            auto const [position, added] = this->followers.try_emplace(id);
            // The first append includes the entry that was just appended to the log.
            if (added)
                position->second.start_probe(this->log.last_index());
        }
    };
    add(members.voters);
    add(members.learners);
}

void node_core::record_acknowledgement(message const& reply, follower_progress& follower)
{
    // Not the highest number, since a follower that has restarted begins with another one.
    if (reply.round >= follower.acknowledged_round)
        follower.last_reply_number = reply.reply_number;
    if (reply.round <= follower.acknowledged_round)
        return;
    auto const sent_at = this->rounds.sent_at(reply.round);
    if (!sent_at)
        return;
    follower.acknowledged_round = reply.round;
    follower.acknowledged_sent_at = *sent_at;
    this->confirm_reads();
}

/// Advances the commit index to the last entry that a quorum has. Entries of earlier terms are
/// committed only together with an entry of this term, since until then a later leader could
/// replace them.
void node_core::commit_by_quorum()
{
    auto const index =
        this->quorum_value<log_index>(this->emitted_index, [](follower_progress const& follower)
                                      { return std::optional(follower.match_index); });
    if (!index || *index <= this->current_hard_state.commit ||
        this->log.term_at(*index) != this->current_hard_state.term)
        return;
    bool const is_first_commit_of_term = !this->is_term_committed();
    this->advance_commit(*index);
    if (is_first_commit_of_term &&
        this->reads.release_awaiting_term(this->current_hard_state.commit))
        this->heartbeat_due = true;
    bool const is_removed = !this->log.latest_membership().voters.contains(this->options.self) &&
                            this->log.latest_membership_index() <= this->current_hard_state.commit;
    if (is_removed)
    {
        this->send_appends();
        this->become_follower(this->current_hard_state.term, std::nullopt);
    }
}

void node_core::confirm_reads()
{
    if (this->role != role::leader)
        return;
    auto const round = this->quorum_value<std::uint64_t>(
        this->rounds.current(), [](follower_progress const& follower)
        { return std::optional(follower.acknowledged_round); });
    if (!round)
        return;
    for (auto const& read : this->reads.take_confirmed(*round))
        this->reply_to_read(read, false);
}

void node_core::check_quorum()
{
    if (!this->has_recent_quorum(this->now))
        this->become_follower(this->current_hard_state.term, std::nullopt);
}

} // namespace lagoonladder::consensus
