#ifndef LAGOONLADDER_CONTROL_CONSENSUS_DRIVER_HPP
#define LAGOONLADDER_CONTROL_CONSENSUS_DRIVER_HPP

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <lagoonladder/config.hpp>
#include <lagoonladder/consensus.hpp>
#include <lagoonladder/control/control_plane.hpp>
#include <lagoonladder/storage.hpp>

#include "log_thread.hpp"
#include "step_sender.hpp"
#include "telemetry.hpp"
#include <lagoonladder/control/peer_channels.hpp>

namespace lagoonladder::control
{

/// Derives the options of the consensus node from the settings.
consensus::node_options make_node_options(config::settings const& config, consensus::voter_id self);

/// Runs the consensus node of a VM with a data folder and maintains the control state that
/// results from its log. Runs on the control thread; only the constructor may run elsewhere.
class consensus_driver
{
public:
    using proposal_handler = control_plane::proposal_handler;
    /// Called with true once the state reflects everything committed before the read began, with
    /// false when the read failed.
    using read_handler = std::function<void(bool)>;

    /// Loads the stored log. `liveness` is used on the control thread only. Throws storage_error
    /// or parse_error when the log is damaged.
    consensus_driver(std::shared_ptr<asio::io_context> io, config::settings const& config,
                     consensus::voter_id self, storage::log_store& store, peer_channels& channels,
                     consensus::liveness_source const& liveness, telemetry const& sinks,
                     random_source& random);

    void start();
    void stop();

    /// Sets the function that is called after log entries were applied.
    void set_applied_handler(std::function<void()> handler);

    /// Sets the source of further addresses at which voters may be reached.
    void set_voter_source(std::function<std::vector<network_address>()> source);

    /// Proposes a command when this node is the leader.
    void propose(version::command_body body, time_point deadline, proposal_handler done);
    /// Waits until the state is confirmed to be current by a quorum.
    void read(time_point deadline, read_handler done);
    /// Processes consensus messages from another voter.
    void step(std::string const& from, std::string const& from_address,
              std::vector<std::string> const& messages);

    struct join_result
    {
        bool accepted = false;
        std::string leader;
        std::string detail;
    };
    /// Adds a voter to the group, or updates its address, when this node is the leader.
    join_result join(consensus::voter_id const& id, network_address const& address);

    version::control_state const& state() const { return this->control_state; }
    consensus::voter_id const& self() const { return this->node.self(); }
    bool has_log() const { return this->node.last_index().value() > 0; }
    /// False while writes to the disk fail; the daemon then works without its log.
    bool is_usable() const { return this->usable; }
    bool is_leader() const { return this->usable && this->node.role() == consensus::role::leader; }
    bool has_valid_lease() const
    {
        return this->usable && this->node.has_valid_lease(this->time.now());
    }
    bool has_recent_quorum() const
    {
        return this->usable && this->node.has_recent_quorum(this->time.now());
    }
    /// Whether the state reflects everything that had been committed a short time ago.
    bool has_recent_state() const
    {
        return this->has_applied_commits() && this->node.has_recent_commit(this->time.now());
    }
    /// Latest time known as of which the state reflected everything that had been committed.
    time_point state_confirmed_at() const { return this->confirmed_at; }
    std::uint64_t term() const { return this->node.term().value(); }
    /// Control address of the leader; empty when unknown.
    network_address leader_address() const;
    vm_id leader_vm() const;
    consensus::membership const& membership() const { return this->node.membership(); }
    std::vector<network_address> voter_addresses() const;

private:
    /// The node knows of a commit before its entry is synced and applied.
    bool has_applied_commits() const
    {
        return this->usable && this->applied_index >= this->node.commit_index().value();
    }

    struct pending_proposal
    {
        consensus::term_number term;
        time_point deadline;
        time_point started;
        std::size_t bytes = 0;
        proposal_handler done;
    };

    /// Summary of proposals that were not committed in time and were not logged yet.
    struct expired_proposals
    {
        std::size_t count = 0;
        std::uint64_t first_index = 0;
        std::size_t bytes = 0;
        duration max_wait{};
    };

    struct pending_read
    {
        time_point deadline;
        /// Log index at which the read was confirmed. The read is served once this index is
        /// applied.
        std::optional<std::uint64_t> index;
        read_handler done;
    };

    void schedule_tick();
    void tick();
    void schedule_flush();
    /// Processes the pending output of the node and serves the reads that have become current.
    void flush();
    /// Processes the output of the node until a write has to end first. Returns whether the control
    /// state changed.
    bool process_ready();
    /// Applies, stores and sends what the node returned. Returns whether the control state changed.
    bool process(consensus::ready work);
    void write(std::shared_ptr<consensus::ready const> const& work);
    void handle_written(consensus::ready const& work, std::exception_ptr const& problem);
    /// Does what has to follow the write of the output of the node. Returns whether the control
    /// state changed.
    bool finish(consensus::ready const& work);
    void handle_progress(bool has_changed);
    void record_reads(consensus::ready const& work);
    consensus::persistent_state load();
    void restore_control_state(consensus::persistent_state const& state);
    /// Stops using the log after a failed write: the contents of the disk are unknown until it
    /// is read again.
    void suspend(std::string const& reason);
    /// Reads the log again, on the thread of the log.
    void reopen();
    void handle_reopened(consensus::persistent_state const& state,
                         std::exception_ptr const& problem);
    void record_confirmation();
    /// Ends all pending proposals as unknown and all pending reads as failed.
    void fail_pending();
    void send(consensus::message const& message);
    void restore(consensus::snapshot const& state);
    /// Returns whether there were any entries.
    bool apply(std::vector<consensus::log_entry> const& entries);
    void apply(consensus::log_entry const& entry);
    void resolve_proposal(consensus::log_entry const& entry, version::command_result const& result);
    void report_large_commit(consensus::log_entry const& entry, pending_proposal const& pending);
    void record_expired(time_point now);
    void report_expired();
    void fail_read(std::uint64_t id);
    void serve_reads();
    void expire_pending();
    void compact_if_due();
    void report_role();
    void propose_expiry();
    void advance_membership();
    /// Returns whether the node accepted the change.
    bool propose_change(consensus::wanted_change const& wanted);
    /// Returns whether this node has had no contact with a quorum for some seconds. Updates the
    /// time of the last contact.
    bool lacks_leader();
    void request_join();
    bool is_self(config::initial_voter const& voter) const;
    /// Queries the other initial voters and creates the group when none of them has state.
    void identify_initial_voters();
    /// Creates the consensus group from the initial voters.
    void bootstrap_group();

    std::shared_ptr<asio::io_context> context;
    config::settings const& options;
    storage::log_store& log_store;
    peer_channels& peers;
    event_sink& events;
    clock const& time;
    random_source& random;
    /// This and `applied_index` are declared before `node`, whose initializer restores them.
    version::control_state control_state;
    std::uint64_t applied_index = 0;
    consensus::node node;
    step_sender sender;
    asio::steady_timer timer;
    std::function<void()> on_applied;

    std::multimap<std::uint64_t, pending_proposal> proposals;
    expired_proposals expired;
    observability::log_rate_limiter expired_log_limit{seconds(1)};
    std::map<std::uint64_t, pending_read> reads;
    std::uint64_t next_read = 1;
    wall_time last_proposed{};
    /// Control addresses that voters sent in their calls.
    std::map<consensus::voter_id, network_address> addresses;
    bool flush_scheduled = false;
    bool stopped = false;
    bool usable = true;
    time_point next_reopen{};

    consensus::role last_role = consensus::role::follower;
    time_point next_expiry{};
    time_point next_member_check{};
    time_point next_join{};
    /// Voter ids of the initial voters that reported an empty log.
    std::map<network_address, consensus::voter_id> empty_voters;
    std::size_t join_target = 0;
    network_address join_hint;
    std::function<std::vector<network_address>()> voter_source;
    consensus::membership_policy change_policy;
    time_point last_quorum_contact{};
    /// Bytes of commands applied since the last snapshot.
    std::uint64_t bytes_since_snapshot = 0;
    time_point confirmed_at{};
    /// Whether everything before the entries of node.take_committed() is applied while a write is
    /// in progress.
    bool applies_during_write = false;
    /// Declared last, since its destructor waits for a write.
    log_thread log_worker;
};

} // namespace lagoonladder::control

#endif
