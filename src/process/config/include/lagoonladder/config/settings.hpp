#ifndef LAGOONLADDER_CONFIG_SETTINGS_HPP
#define LAGOONLADDER_CONFIG_SETTINGS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <lagoonladder/base.hpp>
#include <lagoonladder/base/region.hpp>

namespace lagoonladder::config
{

/// Thrown for a settings file that is not valid; the message names file and line.
class settings_error : public error
{
public:
    using error::error;
};

/// A voter of the consensus group that is founded at the first start of the system.
struct initial_voter
{
    /// Empty when only the address is known.
    vm_id vm;
    network_address control;
};

/// How the requests to an endpoint that has started or recovered grow to its full share.
enum class start_pace
{
    /// Over a fixed time.
    fixed,
    /// By how fast the endpoint answers.
    learned
};

/// How the number of model engines that the leader orders is found.
enum class engine_capacity
{
    /// By the tokens that callers ask for, and a constant.
    fixed,
    /// By the measured work of the engines.
    measured
};

/// Section [pass_through]. When `callers` is empty, the daemon does no pass-through.
struct pass_through_settings
{
    /// Address that callers connect to.
    network_address callers;
    /// Address that operators and endpoints connect to.
    network_address control;
    /// Address at which callers look up the addresses of entries.
    network_address directory;
    /// Address of the readiness check, by which the platform finds out whether this entry
    /// accepts calls.
    network_address readiness;
    /// Address that serves GET /metrics without a token; empty to serve it nowhere.
    network_address metrics;
    /// Address of the platform's API for usage reports and capacity; empty for none.
    network_address platform_api;
    std::uint32_t max_connections = 2000;
    /// Maximum ratio of retries to requests of a service.
    double retry_share = 0.15;
    /// Maximum number of unused retries of a service that all entries together accumulate.
    double retry_burst = 40;
    /// Window over which the retries of a service are limited. An entry that starts has no part of
    /// `retry_burst` for this time.
    duration retry_window = seconds(10);
    /// Within this window an account may exceed its quota by the fraction `quota_overshoot` of
    /// the quota plus `quota_tolerance` tokens.
    duration quota_window{};
    double quota_overshoot = 0;
    double quota_tolerance = 0;
    /// A new version of a service that is not known to be good gets at most this fraction of the
    /// service's requests during its move, and `exposure_requests` more.
    double exposure_share = 0.1;
    double exposure_requests = 50;
    lagoonladder::config::start_pace start_pace = lagoonladder::config::start_pace::fixed;
    /// In a second all entries together send a cold endpoint at most the rate that its service
    /// states times `cold_overshoot` plus `cold_slack` requests.
    double cold_overshoot = 1.5;
    double cold_slack = 5;
    /// Whether calls of model services are refused by priority and fairness while the engines have
    /// too little room.
    bool has_overload_admission = false;
    lagoonladder::config::engine_capacity engine_capacity =
        lagoonladder::config::engine_capacity::fixed;
    duration usage_window = seconds(5);
    /// Time for which the platform still regards the last holder of a duty as its holder.
    duration duty_lease = seconds(3);
    /// Time after an order for a move in which operators may send the same order again because
    /// its acknowledgement was lost. A later one is a new order.
    duration order_resend_time = seconds(5);
    /// Time for which callers may reuse a response of the directory.
    duration directory_max_age = seconds(1);
};

/// Settings of one daemon. docs/operators.md lists each key with its unit,
/// default and bounds.
struct settings
{
    // [vm]
    vm_id vm;
    data_centre_id data_centre;
    zone_id zone;

    /// [data_centres]: the region of each data centre of the deployment; empty if not stated.
    std::map<data_centre_id, region_id> data_centres;

    // [listen]
    network_address http;
    network_address control;

    // [peers]
    std::vector<network_address> seeds;

    // [storage]; data_folder is empty if the VM has no disk.
    std::string data_folder;
    std::vector<initial_voter> initial_voters;
    /// Whether the daemon may found a consensus group; to be set to false at all
    /// starts but the first one of the entire system.
    bool may_found_group = true;
    std::uint64_t snapshot_after_entries = 10'000;
    /// Size of the log entries in bytes after which a snapshot is stored.
    std::uint64_t snapshot_after_bytes = 8 * 1024 * 1024;

    // [fault_tolerance]
    /// Number of data folders that may be lost at the same time without a loss of committed state.
    std::uint32_t tolerated_disk_losses = 1;

    // [security]
    std::string operator_token;
    std::string endpoint_token;
    std::string cluster_token;

    // [log]
    severity log_level = severity::info;

    // [limits]
    std::uint64_t max_body_bytes = 1024 * 1024;
    std::uint32_t max_connections = 1024;
    std::uint32_t max_queued_requests = 2000;
    std::uint32_t max_stored_requests = 10'000;
    /// Budget for the memory of received requests and unsent responses, over all servers of the
    /// process.
    std::uint64_t max_request_memory = 32 * 1024 * 1024;
    /// Size of the kernel's receive and send buffer of each accepted connection.
    std::uint64_t socket_buffer = 64 * 1024;

    // [timing]
    duration endpoint_lease = seconds(5);
    duration gossip_interval = seconds(1);
    duration state_poll_interval = milliseconds(500);
    duration election_timeout = seconds(1);
    duration entry_list_max_age = seconds(10);
    duration drain_timeout = std::chrono::minutes(10);

    // [platform]; an empty address means that the service does not exist.
    network_address cloud_api;
    network_address weight_store;

    pass_through_settings pass_through;
};

/// Parses and validates the text of a settings file; `file` is its name for error messages.
/// Throws settings_error.
settings parse_settings(std::string const& file, std::string const& text);
/// Reads and parses a settings file. Throws settings_error.
settings load_settings(std::string const& path);

} // namespace lagoonladder::config

#endif
