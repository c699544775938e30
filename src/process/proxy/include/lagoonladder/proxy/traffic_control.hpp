#ifndef LAGOONLADDER_PROXY_TRAFFIC_CONTROL_HPP
#define LAGOONLADDER_PROXY_TRAFFIC_CONTROL_HPP

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include <lagoonladder/connection.hpp>
#include <lagoonladder/request.hpp>
#include <lagoonladder/version.hpp>

namespace lagoonladder::proxy
{

/// An entry that takes calls, as other entries reach it.
struct serving_entry
{
    vm_id vm;
    network_address control;
};

/// Control state as the traffic plane uses it. Immutable.
struct traffic_view
{
    /// The state was read through a quorum since the start.
    bool is_ready = false;
    /// This entry is stopping.
    bool is_leaving = false;
    /// A newer configuration than `services` is known to be in force.
    bool knows_newer = false;
    /// Null before the first configuration.
    std::shared_ptr<version::service_index const> services;
    std::map<service_name, std::vector<connection::endpoint_record>> endpoints;
    std::map<service_name, version::traffic_split> splits;
    /// Versions whose move was reversed last; they get no traffic.
    std::map<service_name, version_name> reversed;
    std::map<account_id, request::peer_demand> demand;
    /// Serving entries, this one included.
    std::uint32_t entries = 1;
    /// The same entries by name.
    std::vector<serving_entry> serving;
    /// This entry.
    vm_id vm;
    data_centre_id data_centre;
};

/// Entries that hold the tokens of an account, the first choice first. Empty in a system of
/// so few entries that each holds a part.
std::vector<serving_entry> quota_holders(traffic_view const& view, account_id const& account);

/// Most entries with which each of them holds a part of a quota by its accounts' demand.
std::size_t max_entries_splitting_quotas();

/// A prompt was sent to an engine.
struct prompt_notice
{
    endpoint_id engine;
    /// Start of the engine that got it.
    lagoonladder::incarnation incarnation;
    request::prompt_parts prompt;
};

/// What the traffic plane asks of the control plane. Safe to call from any thread.
class traffic_control
{
public:
    virtual ~traffic_control() = default;

    virtual std::shared_ptr<traffic_view const> view() const = 0;
    virtual void record(version::traffic_sample const& sample) = 0;
    /// A request of the account has begun to run.
    virtual void count_usage(account_id const& account) = 0;
    /// Tokens a second that accounts ask for at this entry.
    virtual void set_demand(std::map<account_id, double> demand) = 0;
    /// Asks the other entries for tokens of the account's quota. `done` gets what they
    /// gave, on the traffic thread and within a bounded time, which is shorter when
    /// the call has little `time_left`.
    virtual void borrow_tokens(account_id const& account, double missing, duration time_left,
                               std::function<void(request::lending_outcome const&)> done) = 0;
    /// Tells the other entries of a prompt, so that they count it at the engine. May be lost.
    virtual void broadcast_prompt(prompt_notice const& news) = 0;
};

} // namespace lagoonladder::proxy

#endif
