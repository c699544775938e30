#ifndef LAGOONLADDER_CONSENSUS_NODE_CORE_HPP
#define LAGOONLADDER_CONSENSUS_NODE_CORE_HPP

#include <lagoonladder/consensus/node.hpp>

#include "follower_progress.hpp"
#include "read_queue.hpp"
#include "replicated_log.hpp"
#include "round_log.hpp"
#include "snapshot_assembly.hpp"

namespace lagoonladder::consensus
{

/// Commit index that a leader stated.
struct leader_commit
{
    log_index index;
    term_number term;
    /// The index covers everything that had been committed at this time.
    time_point as_of{};
};

/// Implementation of node. The functions are grouped by source file.
class node_core
{
public:
    node_core(node_options initial_options, persistent_state const& state, random_source& source,
              time_point start);

    // node_core.cpp: input, output and state changes.
    void tick(time_point time);
    void step(time_point time, message const& received);
    bool has_ready() const;
    ready take_ready();
    std::vector<log_entry> take_committed();

    // client_requests.cpp
    std::optional<proposal> propose(time_point time, std::string data);
    proposed_change propose_membership(time_point time, membership_change const& change);
    bool request_read(time_point time, std::uint64_t context);
    void compact(log_index index, std::string data);

    // leadership.cpp
    bool has_recent_quorum(time_point time) const;
    bool has_recent_commit(time_point time) const;
    std::optional<time_point> quorum_contact_confirmed_at() const;
    std::optional<time_point> commit_confirmed_at() const;
    bool has_valid_lease(time_point time) const;
    std::vector<follower_status> follower_list(time_point time) const;

    node_options options;
    consensus::role role = consensus::role::follower;
    std::optional<voter_id> leader;
    hard_state current_hard_state;
    replicated_log log;
    std::shared_ptr<snapshot const> latest_snapshot;

private:
    // node_core.cpp
    void advance_time(time_point time);
    void adopt_higher_term(message const& received);
    void dispatch(message const& received);
    void become_follower(term_number term, std::optional<voter_id> const& new_leader);
    message make_message(message_type type, voter_id const& to) const;
    message make_reply(message_type type, message const& request);
    void advance_commit(log_index index);
    void collect_persistent_state(ready& work);

    // election.cpp
    void reset_election_timer();
    bool may_campaign() const;
    void start_prevote();
    void start_election();
    bool is_elected_by_own_vote() const;
    void request_votes(message_type type, term_number campaign_term);
    void become_leader();
    bool must_withhold_vote() const;
    bool is_log_up_to_date(message const& candidate) const;
    void on_prevote_request(message const& request);
    void on_vote_request(message const& request);
    void on_vote_reply(message const& reply);
    void count_votes();

    // leadership.cpp: state that a leader derives from the replies of its followers.
    bool is_quorum(std::size_t count) const;
    bool is_only_voter() const;
    template <class Value, class Getter>
    std::optional<Value> quorum_value(Value own, Getter getter) const;
    std::optional<time_point> quorum_acknowledged_at() const;
    std::optional<time_point> last_quorum_contact() const;
    bool is_active(follower_progress const& follower, time_point time) const;
    bool is_term_committed() const;
    void update_followers();
    void record_acknowledgement(message const& reply, follower_progress& follower);
    void commit_by_quorum();
    void confirm_reads();
    void check_quorum();

    // replication.cpp: leader side.
    bool needs_append(follower_progress const& follower) const;
    bool can_send_entries(follower_progress const& follower) const;
    void send_appends();
    void replicate_to(voter_id const& id, follower_progress& follower, std::uint64_t round,
                      bool is_heartbeat);
    void send_append(voter_id const& id, follower_progress& follower, std::uint64_t round,
                     bool with_entries);
    void send_snapshot_chunk(voter_id const& id, follower_progress& follower, std::uint64_t round);
    void send_empty_heartbeat(voter_id const& id, follower_progress const& follower,
                              std::uint64_t round);
    void on_append_reply(message const& reply);
    void on_append_rejected(message const& reply, follower_progress& follower);
    void on_snapshot_reply(message const& reply);

    // follower.cpp: follower side.
    void accept_leader(message const& from_leader);
    void record_leader_commit(message const& from_leader);
    void confirm_commit();
    void on_append_request(message const& request);
    void reject_append(message const& request);
    void accept_entries(message const& request);
    void on_snapshot_chunk(message const& chunk);
    void install_snapshot(snapshot received);

    // client_requests.cpp
    log_index append_to_log(entry_kind kind, std::string data);
    change_status validate_change(membership_change const& change) const;
    bool has_active_quorum(std::map<voter_id, network_address> const& voters) const;
    void on_read_request(message const& request);
    void on_read_reply(message const& reply);
    void reply_to_read(pending_read const& read, bool rejected);
    void fail_reads();
    void fail_expired_reads();

    random_source& random;
    time_point now;

    /// Last entry that take_ready() has returned for storing.
    log_index emitted_index;
    /// Last entry that take_ready() has returned for applying.
    log_index applied_index;
    hard_state emitted_hard_state;
    std::optional<snapshot> snapshot_to_store;
    std::optional<snapshot> snapshot_to_restore;
    std::vector<message> outbox;
    std::vector<confirmed_read> confirmed_reads;
    std::vector<std::uint64_t> failed_reads;

    time_point election_deadline{};
    time_point last_leader_contact;
    /// Latest time at which this follower sent a reply that a leader is known to have received.
    time_point leader_contact_confirmed_at{};
    /// Commit index of the leader that this follower has to reach.
    std::optional<leader_commit> awaited_commit;
    /// Latest time as of which this follower knows everything that had been committed.
    time_point follower_commit_confirmed_at{};
    /// Replies of this follower to leaders. The first number is drawn, since a leader may echo the
    /// number of a reply from before a restart.
    round_log replies;
    /// Votes of the current prevote or election by voter, with this node's own; true when granted.
    std::map<voter_id, bool> votes;
    snapshot_assembly assembly;

    /// Distinguishes the reads of this node from those before a restart.
    std::uint64_t read_nonce;
    /// Reads forwarded to the leader, with the time of the request.
    std::map<std::uint64_t, time_point> forwarded_reads;

    // Leader only.
    std::map<voter_id, follower_progress> followers;
    round_log rounds;
    read_queue reads;
    /// Index of the first entry of this leader's term.
    log_index term_start;
    time_point leader_since{};
    time_point last_heartbeat{};
    bool heartbeat_due = false;
};

} // namespace lagoonladder::consensus

#endif
