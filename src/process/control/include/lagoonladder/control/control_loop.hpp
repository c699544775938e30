#ifndef LAGOONLADDER_CONTROL_CONTROL_LOOP_HPP
#define LAGOONLADDER_CONTROL_CONTROL_LOOP_HPP

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <grpcpp/grpcpp.h>

#include <lagoonladder/config.hpp>
#include <lagoonladder/consensus.hpp>
#include <lagoonladder/control/control_plane.hpp>
#include <lagoonladder/control/peer_channels.hpp>
#include <lagoonladder/observability.hpp>
#include <lagoonladder/proxy.hpp>
#include <lagoonladder/storage.hpp>

namespace lagoonladder::control
{

/// Objects that the control thread uses; they have to outlive it.
struct control_dependencies
{
    config::settings const& options;
    observability::event_timeline& events;
    observability::metrics& metrics;
    clock const& time;
    peer_channels& peers;
    /// Null on a VM without a data folder.
    storage::log_store* store = nullptr;
    consensus::voter_id voter;
    /// Seed of the random numbers for elections and gossip.
    std::uint64_t seed = 0;
};

/// The control thread of one daemon: owns all control state and publishes it to the
/// traffic threads.
class control_loop : public control_plane
{
public:
    virtual void start() = 0;
    /// Stops the thread and waits until it and all calls to other daemons have ended.
    virtual void stop() = 0;

    /// Receives no value when no quorum confirmed the command in time; it may still take effect.
    using apply_handler = std::function<void(std::optional<version::apply_map_result> const&)>;
    /// Receives the configuration as the operator wrote it; null when there is none, or when
    /// the newest one could not be determined.
    using read_handler = std::function<void(std::shared_ptr<std::string const> const&)>;

    /// Commits a pass-through configuration through the quorum.
    virtual void apply_services(version::service_configuration configuration,
                                apply_handler done) = 0;
    /// Reads the newest pass-through configuration. It reflects every change that was
    /// acknowledged before the call.
    virtual void read_services(read_handler done) = 0;

    /// Control state for pass-through calls.
    virtual std::shared_ptr<proxy::traffic_view const> traffic() const = 0;
    /// Counts a request of the account that an endpoint has begun to process.
    virtual void count_usage(account_id const& account) = 0;
    /// Sets the demand of accounts at this entry and what was granted to all of them, in tokens
    /// per second, and the work that this entry gives to engines.
    virtual void set_demand(std::map<account_id, double> demand, double granted,
                            engine_work_by_service work) = 0;
    /// Replaces the control addresses through which other entries are discovered.
    virtual void set_seeds(std::vector<network_address> seeds) = 0;
    /// Sets the interface through which the duty holder calls the platform.
    virtual void set_platform_duties(proxy::platform_duties* target) = 0;

    /// Runs `action` on the control thread.
    virtual void post(std::function<void()> action) = 0;

    /// Creates the gRPC services through which other daemons call this one. They hold
    /// references to the loop, which has to outlive them.
    virtual std::vector<std::unique_ptr<grpc::Service>> make_services() = 0;
};

/// Creates the control loop and loads the stored log. Throws storage_error when the log is
/// damaged.
std::unique_ptr<control_loop> make_control_loop(control_dependencies const& dependencies);

} // namespace lagoonladder::control

#endif
