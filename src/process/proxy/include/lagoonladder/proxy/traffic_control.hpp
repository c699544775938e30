#ifndef LAGOONLADDER_PROXY_TRAFFIC_CONTROL_HPP
#define LAGOONLADDER_PROXY_TRAFFIC_CONTROL_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <lagoonladder/connection.hpp>
#include <lagoonladder/request.hpp>
#include <lagoonladder/version.hpp>

namespace lagoonladder::proxy
{

/// An entry that accepts calls, and the address at which other entries reach it.
struct serving_entry
{
    vm_id vm;
    network_address control;
};

/// Snapshot of the control state for the traffic plane. Immutable once published.
struct traffic_view
{
    /// The state has been read through a quorum since this entry started.
    bool is_ready = false;
    /// This entry is stopping.
    bool is_leaving = false;
    /// From this time on, a newer configuration than `services` may be in force. It is past while
    /// one is known to be in force that this entry has not read. A time, not a flag, since the
    /// control thread may be too late to replace the view.
    time_point configuration_expiry{};
    /// Null before the first configuration.
    std::shared_ptr<version::service_index const> services;
    std::map<service_name, std::vector<connection::endpoint_record>> endpoints;
    std::map<service_name, version::traffic_split> splits;
    /// Per service, the versions whose last move was reversed; they get no traffic.
    std::map<service_name, std::set<version_name>> reversed;
    /// Those of them that were not shown to be worse than the version in service. They get traffic
    /// while no endpoint of another version serves.
    std::map<service_name, std::set<version_name>> undecided;
    /// Data centres whose endpoints receive no requests.
    std::set<data_centre_id> evacuated;
    /// Regions of the data centres, as the settings state them.
    std::map<data_centre_id, region_id> regions;
    std::map<account_id, request::peer_demand> demand;
    /// Number of serving entries, including this one.
    std::uint32_t entries = 1;
    /// Portion of the limits of the whole system that this entry has.
    connection::limit_portion portion;
    /// The serving entries, including this one.
    std::vector<serving_entry> serving;
    /// VM of this entry.
    vm_id vm;
    data_centre_id data_centre;
};

/// Returns whether a newer configuration than the one of the view may be in force.
inline bool is_configuration_outdated(time_point now, traffic_view const& view)
{
    return now >= view.configuration_expiry;
}

/// Returns the number of entries among which the limits of the whole system are divided.
std::uint32_t entries_sharing_limits(traffic_view const& view);

/// Returns the entries that hold the tokens of an account's quota, the preferred one first. Empty
/// while there are so few entries that each one holds a portion of the quota.
std::vector<serving_entry> quota_holders(traffic_view const& view, account_id const& account);

/// Returns the maximum number of entries among which a quota is split in equal portions. With more
/// entries, the quota_holders() hold the tokens.
std::size_t max_entries_splitting_quotas();

/// Notice to other entries that a prompt was sent to an engine.
struct prompt_notice
{
    endpoint_id engine;
    /// Incarnation of the engine process that received the prompt.
    lagoonladder::incarnation incarnation;
    request::prompt_parts prompt;
};

/// Interface of the control plane to the traffic plane. Safe to call from any thread.
class traffic_control
{
public:
    virtual ~traffic_control() = default;

    virtual std::shared_ptr<traffic_view const> view() const = 0;
    virtual void record(version::traffic_sample const& sample) = 0;
    /// Counts a request of the account that has begun to run.
    virtual void count_usage(account_id const& account) = 0;
    /// Sets the tokens per second that the callers of each account request at this entry, those of
    /// all accounts that were granted, and the work that this entry gives to engines.
    virtual void set_demand(std::map<account_id, double> demand, double granted,
                            engine_work_by_service work) = 0;
    /// Requests tokens of the account's quota from the other entries. `done` receives the tokens
    /// they lent, on the traffic thread and within a bounded time, which is shorter when the call
    /// has little `time_left`.
    virtual void borrow_tokens(account_id const& account, request::token_shortage const& shortage,
                               duration time_left,
                               std::function<void(request::lending_outcome const&)> done) = 0;
    /// Notifies the other entries of a prompt, so that they count it at the engine. The notice may
    /// be lost.
    virtual void broadcast_prompt(prompt_notice const& notice) = 0;
    /// Sends evidence on parts of prompts that crash engines to `receivers` other entries, drawn at
    /// random, or to all of them. It may be lost.
    virtual void send_crash_evidence(std::vector<request::part_evidence> const& evidence,
                                     std::optional<std::size_t> receivers) = 0;
};

} // namespace lagoonladder::proxy

#endif
