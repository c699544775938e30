#include <lagoonladder/consensus/node.hpp>

#include "node_core.hpp"

namespace lagoonladder::consensus
{

node::node(node_options options, persistent_state state, random_source& random, time_point now)
    : core(std::make_unique<node_core>(std::move(options), state, random, now))
{
}

node::~node() = default;
node::node(node&&) noexcept = default;
node& node::operator=(node&&) noexcept = default;

void node::tick(time_point now)
{
    this->core->tick(now);
}

void node::step(time_point now, message const& received)
{
    this->core->step(now, received);
}

std::optional<proposal> node::propose(time_point now, std::string data)
{
    return this->core->propose(now, std::move(data));
}

proposed_change node::propose_membership(time_point now, membership_change const& change)
{
    return this->core->propose_membership(now, change);
}

bool node::request_read(time_point now, std::uint64_t context)
{
    return this->core->request_read(now, context);
}

void node::compact(log_index index, std::string data)
{
    this->core->compact(index, std::move(data));
}

bool node::has_ready() const
{
    return this->core->has_ready();
}

ready node::take_ready()
{
    return this->core->take_ready();
}

std::vector<log_entry> node::take_committed()
{
    return this->core->take_committed();
}

role node::role() const
{
    return this->core->role;
}

term_number node::term() const
{
    return this->core->current_hard_state.term;
}

std::optional<voter_id> node::leader() const
{
    return this->core->leader;
}

voter_id const& node::self() const
{
    return this->core->options.self;
}

bool node::has_recent_quorum(time_point now) const
{
    return this->core->has_recent_quorum(now);
}

std::optional<time_point> node::quorum_contact_confirmed_at() const
{
    return this->core->quorum_contact_confirmed_at();
}

bool node::has_recent_commit(time_point now) const
{
    return this->core->has_recent_commit(now);
}

std::optional<time_point> node::commit_confirmed_at() const
{
    return this->core->commit_confirmed_at();
}

bool node::has_valid_lease(time_point now) const
{
    return this->core->has_valid_lease(now);
}

membership const& node::membership() const
{
    return this->core->log.latest_membership();
}

log_index node::commit_index() const
{
    return this->core->current_hard_state.commit;
}

log_index node::last_index() const
{
    return this->core->log.last_index();
}

log_index node::snapshot_index() const
{
    return this->core->latest_snapshot ? this->core->latest_snapshot->index : log_index(0);
}

std::vector<follower_status> node::followers(time_point now) const
{
    return this->core->follower_list(now);
}

} // namespace lagoonladder::consensus
