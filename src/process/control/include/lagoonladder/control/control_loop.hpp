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
    std::uint64_t seed = 0;
};

/// The control thread of one daemon: owns all control state and publishes it to the
/// traffic threads.
class control_loop : public control_plane
{
public:
    virtual void start() = 0;
    virtual void stop() = 0;

    /// Gets no value when no quorum confirmed the command in time; it may still take effect.
    using apply_handler = std::function<void(std::optional<version::apply_map_result> const&)>;
    /// Gets the operator's text; null when it is not known for certain, or there is none.
    using read_handler = std::function<void(std::shared_ptr<std::string const> const&)>;

    /// Puts a pass-through configuration in force.
    virtual void apply_services(version::service_configuration wanted, apply_handler done) = 0;
    /// Reads the pass-through configuration that reflects all that was acknowledged before.
    virtual void read_services(read_handler done) = 0;

    /// Control state for pass-through calls.
    virtual std::shared_ptr<proxy::traffic_view const> traffic() const = 0;
    /// Counts a request that an endpoint began to work on.
    virtual void count_usage(account_id const& account) = 0;
    virtual void set_demand(std::map<account_id, double> demand) = 0;
    virtual void set_seeds(std::vector<network_address> seeds) = 0;
    virtual void set_platform_duties(proxy::platform_duties* target) = 0;

    /// Runs `action` on the control thread.
    virtual void post(std::function<void()> action) = 0;

    /// gRPC services through which other daemons reach this one. They refer to the loop.
    virtual std::vector<std::unique_ptr<grpc::Service>> make_services() = 0;
};

/// Loads the stored log. Throws storage_error when it is damaged.
std::unique_ptr<control_loop> make_control_loop(control_dependencies const& dependencies);

} // namespace lagoonladder::control

#endif
