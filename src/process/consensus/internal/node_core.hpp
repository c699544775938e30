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

    // client_requests.cpp
    std::optional<proposal> propose(time_point time, std::string data);
    proposed_change propose_membership(time_point time, membership_change const& change);
    bool request_read(time_point time, std::uint64_t context);
    void compact(log_index index, std::string data);

    // leadership.cpp
    bool has_recent_quorum(time_point time) const;
    bool has_valid_lease(time_point time) const;
    std::vector<follower_status> follower_list(time_point time) const;

    node_options options;
    consensus::role role = consensus::role::follower;
    std::optional<voter_id> leader;
    hard_state hard;
    replicated_log log;
    std::shared_ptr<snapshot const> latest_snapshot;

private:
    // node_core.cpp
    void advance_time(time_point time);
    void take_higher_term(message const& received);
    void dispatch(message const& received);
    void become_follower(term_number term, std::optional<voter_id> const& new_leader);
    message make(message_type type, voter_id const& to) const;
    void advance_commit(log_index index);
    void collect_state(ready& work);

    // election.cpp
    void reset_election_timer();
    bool may_campaign() const;
    void start_prevote();
    void start_election();
    void request_votes(message_type type, term_number campaign_term);
    void become_leader();
    bool is_within_lease() const;
    bool is_log_current(message const& candidate) const;
    void on_prevote_request(message const& request);
    void on_vote_request(message const& request);
    void on_vote_reply(message const& reply);
    void count_votes();

    // leadership.cpp: what a leader knows from the answers of its followers.
    bool is_quorum(std::size_t count) const;
    template <class Value, class Getter>
    std::optional<Value> quorum_value(Value own, Getter getter) const;
    std::optional<time_point> quorum_answered_at() const;
    bool is_active(follower_progress const& follower, time_point time) const;
    bool is_term_committed() const;
    void update_followers();
    void note_answer(message const& reply, follower_progress& follower);
    void commit_by_quorum();
    void confirm_reads();
    void check_quorum();

    // replication.cpp: leader side.
    bool wants_append(follower_progress const& follower) const;
    bool wants_entries(follower_progress const& follower) const;
    void send_appends();
    void send_to(voter_id const& id, follower_progress& follower, std::uint64_t round, bool beat);
    void send_append(voter_id const& id, follower_progress& follower, std::uint64_t round,
                     bool with_entries);
    void send_chunk(voter_id const& id, follower_progress& follower, std::uint64_t round);
    void send_plain_heartbeat(voter_id const& id, std::uint64_t round);
    void on_append_reply(message const& reply);
    void on_append_rejected(message const& reply, follower_progress& follower);
    void on_snapshot_reply(message const& reply);

    // following.cpp: follower side.
    void follow(message const& from_leader);
    void on_append_request(message const& request);
    void reject_append(message const& request);
    void accept_entries(message const& request);
    void on_snapshot_chunk(message const& chunk);
    void install_snapshot(snapshot received);

    // client_requests.cpp
    log_index append_own(entry_kind kind, std::string data);
    change_status check_change(membership_change const& change) const;
    bool has_quorum_with(std::map<voter_id, network_address> const& voters) const;
    void on_read_request(message const& request);
    void on_read_reply(message const& reply);
    void answer_read(accepted_read const& read, bool rejected);
    void fail_reads();
    void fail_late_reads();

    random_source& random;
    time_point now;

    /// Entries up to here were handed out to be stored.
    log_index handed_out;
    /// Entries up to here were handed out to be applied.
    log_index applied;
    hard_state handed_out_hard;
    std::optional<snapshot> to_store;
    std::optional<snapshot> to_restore;
    std::vector<message> outbox;
    std::vector<confirmed_read> confirmed_reads;
    std::vector<std::uint64_t> failed_reads;

    time_point election_deadline{};
    time_point leader_heard_at;
    std::map<voter_id, bool> votes;
    snapshot_assembly assembly;

    /// Distinguishes reads of this start of the node from those of an earlier one.
    std::uint64_t read_nonce;
    /// Reads forwarded to the leader, with the time of the request.
    std::map<std::uint64_t, time_point> forwarded_reads;

    // Leader only.
    std::map<voter_id, follower_progress> followers;
    round_log rounds;
    read_queue reads;
    log_index term_start;
    time_point leader_since{};
    time_point last_heartbeat{};
    bool heartbeat_due = false;
};

} // namespace lagoonladder::consensus

#endif
