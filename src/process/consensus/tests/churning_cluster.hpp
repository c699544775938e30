#ifndef LAGOONLADDER_CONSENSUS_CHURNING_CLUSTER_HPP
#define LAGOONLADDER_CONSENSUS_CHURNING_CLUSTER_HPP

#include "simulated_cluster.hpp"

/// Time from the start of a replaced VM until its loss no longer counts.
inline constexpr lagoonladder::duration catch_up_time = lagoonladder::seconds(4);

enum class loss
{
    /// The VM does not return; another one with a new name, address and disk replaces it.
    replaced,
    /// The VM returns with an empty disk.
    wiped,
    /// The VM cannot be reached for a while.
    cut,
    /// The process is killed and starts again.
    killed
};

/// Voters whose VMs are lost in any way. The members are maintained as the daemons do it.
class churning_cluster : public lagoonladder::consensus::liveness_source
{
public:
    churning_cluster(std::uint64_t seed, std::size_t size,
                     lagoonladder::consensus::membership_policy_options options = {});

    void run(lagoonladder::duration length);

    /// Writes and reads during each run from now on, over a network that delays and duplicates
    /// messages.
    void start_calls();

    /// Kills all processes after the time; each is back within a second.
    void kill_all_after(lagoonladder::duration delay);

    /// Ends at an acknowledgement, or after 500 ms.
    void run_until_acknowledged();

    /// Erases one disk while all other VMs lose power; each VM is back after 1 to 2 s.
    void lose_disk_and_power(simulated_vm& victim, loss kind);

    /// Ends the process, which starts again after the time. What its disk has synced is kept.
    void power_off(simulated_vm& vm, lagoonladder::duration time);

    /// Erases the disk of a VM, which starts again after the time.
    void lose_disk(simulated_vm& vm, lagoonladder::duration time);

    simulated_vm& victim(bool prefers_leader);

    /// Loses a VM and runs until the loss no longer counts.
    void lose(simulated_vm& vm, loss kind);

    /// Whether a leader is elected and commits a write within ten seconds.
    bool can_write();

    // liveness_source
    std::optional<lagoonladder::duration>
    time_since_heartbeat(lagoonladder::time_point now,
                         lagoonladder::vm_id const& vm) const override;

    simulated_cluster cluster;

private:
    void isolate(lagoonladder::vm_id const& name);
    void reconnect();
    void step();
    /// Ends all processes; what is not synced is lost. Each VM starts again after a random time.
    void stop_all(lagoonladder::duration min_delay, lagoonladder::duration max_delay);
    void stall_a_disk();
    void start_due();
    void wipe(simulated_vm& vm);
    /// Puts an empty VM with another name into the place of the VM, to start when that one would.
    simulated_vm& exchange(lagoonladder::vm_id const& name);
    void maintain_members();
    void record_heartbeats();
    /// Each VM that is not a member, and can reach the leader, requests to join.
    void request_joins();

    lagoonladder::consensus::membership_policy_options policy_options;
    /// By voter, since a process that starts again has no memory of earlier checks.
    std::map<lagoonladder::consensus::voter_id, lagoonladder::consensus::membership_policy>
        policies;
    /// Last time at which the other VMs could receive a heartbeat of the VM.
    std::map<lagoonladder::vm_id, lagoonladder::time_point> last_heartbeats;
    /// Empty while no VM is cut off.
    lagoonladder::vm_id isolated_vm;
    lagoonladder::time_point next_check{};
    lagoonladder::time_point next_kill = lagoonladder::time_point::max();
    /// Times at which stopped VMs start again.
    std::map<lagoonladder::vm_id, lagoonladder::time_point> starts;
    bool has_calls = false;
    std::size_t next_name;
};

#endif
