#ifndef LAGOONLADDER_CONSENSUS_SIMULATED_CLUSTER_HPP
#define LAGOONLADDER_CONSENSUS_SIMULATED_CLUSTER_HPP

#include <cstdlib>
#include <deque>

#include <lagoonladder/storage.hpp>

#include "simulated_network.hpp"

/// Violation of a safety property or missing progress.
class simulation_failure : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

inline std::uint64_t environment_value(char const* name, std::uint64_t fallback)
{
    char const* value = std::getenv(name);
    return value ? std::stoull(value) : fallback;
}

/// Output of a node that its disk is still storing.
struct write_in_flight
{
    lagoonladder::consensus::ready work;
    lagoonladder::time_point ends_at{};
    /// Whether the committed entries were applied before the write ended.
    bool is_applied = false;
};

/// A VM with its disk, its clock and one consensus node.
struct simulated_vm
{
    lagoonladder::vm_id name;
    lagoonladder::consensus::voter_id id;
    double clock_rate = 1;
    lagoonladder::time_point paused_until{};
    /// No write ends before.
    lagoonladder::time_point disk_stalled_until{};
    lagoonladder::storage::memory_log_store store;
    std::unique_ptr<lagoonladder::consensus::node> node;
    std::optional<write_in_flight> write;

    // State of the application; lost in a crash and rebuilt from the snapshot and the log.
    std::uint64_t applied_index = 0;
    std::uint64_t state_digest = 0;
    /// Term and data of proposed entries by index, until the index is applied.
    std::map<std::uint64_t, std::pair<lagoonladder::consensus::term_number, std::string>>
        pending_proposals;
    /// Lowest applied index at which a read may be served, by read context.
    std::map<std::uint64_t, std::uint64_t> min_index_by_read;
    std::vector<lagoonladder::consensus::confirmed_read> waiting_reads;
};

/// Runs nodes in virtual time under simulated faults and checks the safety properties of Raft.
class simulated_cluster
{
public:
    simulated_cluster(std::uint64_t seed, std::size_t size);

    /// Simulates 5 ms: delivers messages, runs timers and checks the safety properties.
    void step();
    void run(lagoonladder::duration duration_to_run);

    /// Performs random client calls, faults and repairs; to be called before a step.
    void inject_faults();
    /// Ends all faults and requires that all VMs become voters with equal state.
    void heal_and_converge();

    void write();
    void read();
    /// Ends the process and discards what its disk has not synced. A write in flight is lost, or
    /// stored without a report.
    void crash(simulated_vm& vm);
    void start(simulated_vm& vm);
    /// Erases the disk of the VM, which then gets a new voter id. Returns false, and erases
    /// nothing, when that could leave the group without a quorum of intact logs.
    bool lose_disk(simulated_vm& vm);
    /// Adds VMs that are not members, promotes learners and removes voter ids with a lost log.
    void repair();
    /// Cuts the links to the VM (inbound) and from it (outbound).
    void isolate(lagoonladder::vm_id const& vm_name, bool inbound, bool outbound);

    simulated_vm* leader();
    /// Number of voters whose log is lost.
    std::size_t lost_voters(lagoonladder::consensus::membership const& members) const;
    lagoonladder::time_point local_time(simulated_vm const& vm) const;

    lagoonladder::seeded_random random;
    simulated_network network;
    lagoonladder::time_point now{};
    lagoonladder::consensus::node_options options;
    std::vector<std::unique_ptr<simulated_vm>> vms;

    // Counters by which a test checks that a run exercised what it is meant to.
    std::uint64_t acknowledged_writes = 0;
    std::uint64_t served_reads = 0;
    std::uint64_t lost_disks = 0;
    std::uint64_t restored_snapshots = 0;
    std::uint64_t observed_leases = 0;
    std::uint64_t confirmations = 0;
    /// Committed entries that were applied while a write was in flight.
    std::uint64_t applied_meanwhile = 0;
    std::uint64_t lost_writes = 0;
    /// Last index that a client knows to be applied.
    std::uint64_t client_visible_index = 0;

private:
    void process_ready(simulated_vm& vm);
    void begin_write(simulated_vm& vm);
    /// Does what is possible while the write is in flight.
    void continue_meanwhile(simulated_vm& vm);
    void end_write(simulated_vm& vm);
    void restore(simulated_vm& vm, lagoonladder::consensus::snapshot const& state);
    void compact_sometimes(simulated_vm& vm);
    void store_entries(simulated_vm& vm, lagoonladder::consensus::ready const& work);
    void apply(simulated_vm& vm, lagoonladder::consensus::log_entry const& entry);
    void serve_reads(simulated_vm& vm);
    /// Checks that each term has one leader and that at most one lease is valid.
    void check_leaders();
    /// Checks that a node that confirms its state knows what had been applied anywhere an election
    /// timeout ago.
    void check_confirmations();
    void inject_network_faults();
    void cut_link(bool both_ways);
    void inject_vm_faults();
    void change_membership();
    simulated_vm& random_vm() { return *this->vms[this->random.below(this->vms.size())]; }
    bool chance(double probability) { return this->random.unit() < probability; }

    /// Number of the last write or read.
    std::uint64_t last_number = 0;
    /// Probability of a write in a step.
    double write_rate = 0.3;
    std::map<lagoonladder::consensus::term_number, lagoonladder::consensus::voter_id> leaders;
    /// Entry and preceding term by (index, term), for all entries that were ever stored.
    std::map<std::pair<std::uint64_t, lagoonladder::consensus::term_number>,
             std::pair<lagoonladder::consensus::log_entry, lagoonladder::consensus::term_number>>
        stored_entries;
    /// Entry and state digest by applied index.
    std::map<std::uint64_t, std::pair<lagoonladder::consensus::log_entry, std::uint64_t>>
        applied_history;
    /// Times, oldest first, and the last index that any node had applied by then.
    std::deque<std::pair<lagoonladder::time_point, std::uint64_t>> applied_by_time;
};

#endif
