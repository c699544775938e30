#ifndef LAGOONLADDER_PROXY_OPERATIONS_HPP
#define LAGOONLADDER_PROXY_OPERATIONS_HPP

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <lagoonladder/base/region.hpp>
#include <lagoonladder/connection.hpp>
#include <lagoonladder/version.hpp>

namespace lagoonladder::proxy
{

/// What a caller that asks for entries states about itself.
struct directory_query
{
    zone_id zone;
    region_id region;
    /// Host that the caller will call; empty if not stated.
    std::string host;
};

/// Requests of operators, endpoints and callers other than the calls that are passed through.
/// Safe to call from any thread; handlers run on the event loop that serves the calls.
class operations
{
public:
    virtual ~operations() = default;

    /// Receives the result, which has no value when no quorum confirmed the command in time.
    template <class Result>
    using handler = std::function<void(std::optional<Result> const&)>;

    virtual void apply(version::service_configuration configuration,
                       handler<version::apply_map_result> done) = 0;
    /// Reads the text of the configuration in force, as the operator submitted it.
    virtual void
    read_configuration(std::function<void(std::shared_ptr<std::string const> const&)> done) = 0;
    virtual void read_moves(handler<std::vector<version::move_record>> done) = 0;
    /// Whether this process stood still until a short time ago, so that requests may be received
    /// now whose senders gave them up long before.
    virtual bool has_just_resumed() const = 0;
    virtual void start_move(version::start_service_move order,
                            handler<version::start_move_result> done) = 0;
    /// Starts or ends the evacuation of a data centre.
    virtual void set_evacuation(version::set_evacuation order,
                                handler<version::evacuation_result> done) = 0;
    /// Whether the deployment has the data centre.
    virtual bool is_known(data_centre_id const& data_centre) const = 0;

    /// Receives whether a change may be acknowledged to the endpoint. False when the endpoint is
    /// leaving and no other entry knows it yet; the endpoint has to report it to another entry.
    using acknowledgement_handler = std::function<void(bool)>;

    virtual void announce(connection::endpoint_record record, acknowledgement_handler done) = 0;
    /// Removes an endpoint that is shutting down and accepts no more requests.
    virtual void remove(endpoint_id const& id, acknowledgement_handler done) = 0;

    /// Returns the addresses of at most `max_count` entries that accept calls. For a host whose
    /// routes all have home regions, they are in one of these or in the caller's region, unless
    /// no entry is.
    virtual std::vector<network_address> entry_addresses(directory_query const& query,
                                                         std::size_t max_count) const = 0;
    /// Whether this entry accepts calls.
    virtual bool accepts_calls() const = 0;
};

/// Calls to the platform's API that only one daemon at a time, the holder of the duties, makes.
class platform_duties
{
public:
    virtual ~platform_duties() = default;

    /// The daemon that makes a call. The platform recognises the calls of an earlier holder by
    /// their lower fencing number.
    struct holder
    {
        vm_id vm;
        std::uint64_t fencing_number = 0;
    };

    /// Reports how many requests of each account began to run in the usage window with the number
    /// `window`; `done` receives whether the platform accepted the report.
    virtual void report_usage(holder const& self, std::uint64_t window,
                              std::map<account_id, std::uint64_t> const& counts,
                              std::function<void(bool)> done) = 0;

    struct capacity_order
    {
        service_name service;
        data_centre_id data_centre;
        std::uint32_t replicas = 0;
        bool reclaimable = false;
    };

    /// Orders the total number of replicas of the service in the data centre, on reclaimable VMs or
    /// on on-demand VMs; `done` receives whether the platform accepted the order.
    virtual void order_capacity(holder const& self, capacity_order const& order,
                                std::function<void(bool)> done) = 0;
};

} // namespace lagoonladder::proxy

#endif
