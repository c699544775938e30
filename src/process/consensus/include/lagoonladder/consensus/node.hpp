#ifndef LAGOONLADDER_CONSENSUS_NODE_HPP
#define LAGOONLADDER_CONSENSUS_NODE_HPP

#include <memory>

#include <lagoonladder/consensus/ready.hpp>

namespace lagoonladder::consensus
{

struct node_options
{
    voter_id self;
    /// A follower without contact to a leader starts an election after a random time between one
    /// and two election timeouts.
    duration election_timeout = seconds(1);
    duration heartbeat_interval = milliseconds(200);
    std::uint64_t max_entries_per_append = 256;
    /// Limit of an append with several entries; a single entry may be larger.
    std::uint64_t max_bytes_per_append = 64 * 1024;
    /// Limit of the unacknowledged entries to one follower, in bytes. Heartbeats queue behind
    /// them, so the link must transfer them in a fraction of the election timeout.
    std::uint64_t max_in_flight_bytes = 128 * 1024;
    std::uint64_t snapshot_chunk_bytes = 64 * 1024;
    /// Number of entries before a snapshot's index that stay in memory, so that a follower that
    /// lags slightly needs no snapshot.
    std::uint64_t retained_entries = 1000;
};

enum class role
{
    follower,
    precandidate,
    candidate,
    leader
};

/// Position of a proposed entry. The proposal is committed when the entry committed at `index`
/// has this `term`; when that entry has another term, the proposal is lost.
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
    /// The previous membership change is not committed yet.
    change_in_progress,
    /// The learner lacks committed entries or has not replied within an election timeout.
    learner_behind,
    unknown_member,
    already_member,
    last_voter,
    /// Fewer than a quorum of the new voters have replied within an election timeout.
    no_quorum_after_change
};

/// Result of node::propose_membership.
struct proposed_change
{
    change_status status = change_status::not_leader;
    /// Position of the membership entry; present when accepted.
    std::optional<proposal> position;
};

struct follower_status
{
    voter_id id;
    network_address address;
    bool is_learner = false;
    /// Last entry known to be synced by the follower (matchIndex).
    log_index match_index;
    /// Whether the follower replied to a broadcast sent within the last election timeout.
    bool is_active = false;
    bool receiving_snapshot = false;
};

class node_core;

/// Member of the group that keeps the replicated log: Raft with prevote, check-quorum, read index,
/// learners and leader leases. Deterministic: all inputs are arguments, all outputs are returned
/// by take_ready(). Not thread-safe.
class node
{
public:
    /// Throws consensus_error when the options or the state are inconsistent. `random` must outlive
    /// the node. The caller restores the application from state.snapshot; take_ready() returns the
    /// committed entries after it.
    ///
    /// A node grants no vote in its first election timeout: before a restart it may have
    /// acknowledged a leader, whose lease relies on the votes that this node withholds.
    node(node_options options, persistent_state state, random_source& random, time_point now);
    ~node();
    node(node&&) noexcept;
    node& operator=(node&&) noexcept;

    /// Handles timeouts. To be called at least every heartbeat_interval / 4.
    void tick(time_point now);

    /// Handles a received message. Messages to another voter id are ignored.
    void step(time_point now, message const& received);

    /// Appends a command to the log. No value when this node is not the leader.
    std::optional<proposal> propose(time_point now, std::string data);

    proposed_change propose_membership(time_point now, membership_change const& change);

    /// Requests a linearizable read; allowed on any node. The context is returned in ready::reads
    /// or ready::failed_reads and must not be used twice. Returns false when no leader is known;
    /// the context is then not returned.
    bool request_read(time_point now, std::uint64_t context);

    /// Creates a snapshot at the applied entry `index` and drops the log before it, except for
    /// retained_entries. `data` is the encoded state of the application after that entry.
    /// take_ready() returns the snapshot to store.
    void compact(log_index index, std::string data);

    bool has_ready() const;
    /// Returns what to do next. To be called only when what the last call returned has been stored.
    ready take_ready();

    /// Returns further committed entries to apply, while what take_ready() returned is still being
    /// stored. A quorum has stored these entries, whether or not this node has. To be called only
    /// after `committed` and `restore` of the last take_ready() were applied.
    std::vector<log_entry> take_committed();

    consensus::role role() const;
    term_number term() const;
    /// Leader of the current term, if known.
    std::optional<voter_id> leader() const;
    voter_id const& self() const;

    /// On the leader: whether a quorum has replied to a broadcast sent within the last election
    /// timeout. On others: whether a message of the leader arrived within it.
    bool has_recent_quorum(time_point now) const;

    /// Latest time known at which this node was in contact with a quorum, or with a leader: when a
    /// broadcast that a quorum has acknowledged, or a reply that a leader has received, was sent.
    /// Unlike for has_recent_quorum(), messages that arrive late, as after a pause of the process,
    /// count from the time as of which they were sent.
    std::optional<time_point> quorum_contact_confirmed_at() const;

    /// Whether commit_index() covers everything that had been committed at some time within the
    /// last election timeout. False on a follower that hears its leader but lags behind it, and
    /// until the leader has committed an entry of its term.
    bool has_recent_commit(time_point now) const;

    /// Latest time known as of which commit_index() covers everything that had been committed. No
    /// value while there is no leader or it has not committed an entry of its term.
    std::optional<time_point> commit_confirmed_at() const;

    /// True only on the leader, while no other leader can have been elected, provided that the
    /// rates of all clocks are within 1% of true time.
    bool has_valid_lease(time_point now) const;

    /// Latest membership in the log, committed or not.
    consensus::membership const& membership() const;
    log_index commit_index() const;
    log_index last_index() const;
    /// Index of the latest snapshot; 0 when there is none.
    log_index snapshot_index() const;
    /// Empty unless this node is the leader.
    std::vector<follower_status> followers(time_point now) const;

private:
    std::unique_ptr<node_core> core;
};

} // namespace lagoonladder::consensus

#endif
