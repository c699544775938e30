#ifndef LAGOONLADDER_CONSENSUS_NODE_HPP
#define LAGOONLADDER_CONSENSUS_NODE_HPP

#include <memory>

#include <lagoonladder/consensus/ready.hpp>

namespace lagoonladder::consensus
{

struct node_options
{
    voter_id self;
    /// A follower campaigns after one to two of these without a leader.
    duration election_timeout = seconds(1);
    duration heartbeat_interval = milliseconds(200);
    std::uint64_t max_entries_per_append = 256;
    /// A single entry may be larger.
    std::uint64_t max_bytes_per_append = 64 * 1024;
    /// Entries on their way to one follower, in bytes. Heartbeats wait behind them, so a
    /// link has to carry them in a part of the election timeout.
    std::uint64_t max_unanswered_bytes = 128 * 1024;
    std::uint64_t snapshot_chunk_bytes = 64 * 1024;
    /// Entries kept in memory behind a snapshot, so that a follower that lags
    /// a little needs no snapshot.
    std::uint64_t retained_entries = 1000;
};

enum class role
{
    follower,
    precandidate,
    candidate,
    leader
};

/// Position of a proposed entry. It took effect if the entry that is committed
/// at `index` has this `term`, and never will if it has another one.
struct proposal
{
    log_index index;
    term_number term;
};

enum class change_status
{
    accepted,
    not_leader,
    /// The leader has not yet committed an entry of its own term.
    term_not_committed,
    /// The previous change is not committed.
    change_in_progress,
    /// The learner lacks committed entries or has not answered recently.
    learner_behind,
    unknown_member,
    already_member,
    last_voter,
    /// The new set of voters would have no quorum that answered recently.
    no_quorum_after_change
};

struct proposed_change
{
    change_status status = change_status::not_leader;
    /// Present when accepted.
    std::optional<proposal> position;
};

struct follower_status
{
    voter_id id;
    network_address address;
    bool learner = false;
    /// Last entry known to be synced by the follower.
    log_index match_index;
    /// Answered within one election timeout.
    bool active = false;
    bool receiving_snapshot = false;
};

class node_core;

/// One member of the replicated log (Raft with prevote, check-quorum, read
/// index, learners and leader leases). Deterministic: all inputs are arguments,
/// all outputs come from take_ready(). Not thread-safe.
class node
{
public:
    /// `random` must outlive the node. Throws consensus_error when the options or
    /// the state are not consistent. The caller restores state.snapshot itself;
    /// committed entries after it come from take_ready().
    ///
    /// A node grants no vote in its first election timeout, since it may have
    /// promised that time to a leader before it was restarted.
    node(node_options options, persistent_state state, random_source& random, time_point now);
    ~node();
    node(node&&) noexcept;
    node& operator=(node&&) noexcept;

    /// To be called at least every heartbeat_interval / 4.
    void tick(time_point now);

    /// Takes a message; one that is not for this node is ignored.
    void step(time_point now, message const& received);

    /// Appends a command. No value when this node is not the leader.
    std::optional<proposal> propose(time_point now, std::string data);

    proposed_change propose_membership(time_point now, membership_change const& change);

    /// Asks for a linearizable read at any node; the context comes back in
    /// ready::reads or ready::failed_reads. A context must not be used twice.
    /// Returns false when no leader is known; nothing comes back then.
    bool request_read(time_point now, std::uint64_t context);

    /// Drops the log up to the applied entry `index`; `data` is the encoded state
    /// of the application after it. The snapshot to store comes from take_ready().
    void compact(log_index index, std::string data);

    bool has_ready() const;
    ready take_ready();

    consensus::role role() const;
    term_number term() const;
    /// Leader of the current term, if known.
    std::optional<voter_id> leader() const;
    voter_id const& self() const;

    /// Leader: a quorum answered within the last election timeout. Others: a
    /// leader was heard within it.
    bool has_recent_quorum(time_point now) const;

    /// True only on the leader, and while no other leader can have been elected,
    /// provided that clock rates are within 1% of true time.
    bool has_valid_lease(time_point now) const;

    /// Latest membership in the log, committed or not.
    consensus::membership const& membership() const;
    log_index commit_index() const;
    log_index last_index() const;
    /// Index of the latest snapshot; 0 when there is none.
    log_index snapshot_index() const;
    /// Empty unless leader.
    std::vector<follower_status> followers(time_point now) const;

private:
    std::unique_ptr<node_core> core;
};

} // namespace lagoonladder::consensus

#endif
