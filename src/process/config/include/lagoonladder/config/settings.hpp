#ifndef LAGOONLADDER_CONFIG_SETTINGS_HPP
#define LAGOONLADDER_CONFIG_SETTINGS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::config
{

/// A settings file that is not valid; the text names file and line.
class settings_error : public error
{
public:
    using error::error;
};

/// A voter of the first start.
struct initial_voter
{
    /// Empty when only the address is known.
    vm_id vm;
    network_address control;
};

/// Section [pass_through]. Without `callers` the daemon passes no calls through.
struct pass_through_settings
{
    /// Where callers connect.
    network_address callers;
    /// Where operators and endpoints connect.
    network_address control;
    /// Where callers ask for addresses.
    network_address directory;
    /// Where the platform asks whether this entry takes calls.
    network_address readiness;
    /// Where GET /metrics is answered without a token; empty for nowhere.
    network_address metrics;
    /// The platform's API for usage reports and capacity; empty for none.
    network_address platform_api;
    std::uint32_t max_connections = 2000;
    /// Retries of a service as a share of its requests.
    double retry_share = 0.15;
    /// Retries of a service that all entries together may save up.
    double retry_burst = 40;
    /// Over this span an account may exceed its quota by a part of it and some tokens.
    duration quota_span{};
    double quota_overshoot = 0;
    double quota_tolerance = 0;
    duration usage_window = seconds(5);
    /// How long the platform takes the last holder of a duty for its holder.
    duration duty_lease = seconds(3);
    /// How long callers may use an answer of the directory.
    duration directory_age = seconds(1);
};

/// Settings of one daemon. docs/operators.md lists each key with its unit,
/// default and bounds.
struct settings
{
    // [vm]
    vm_id vm;
    data_centre_id data_centre;
    zone_id zone;

    // [listen]
    network_address http;
    network_address control;

    // [peers]
    std::vector<network_address> seeds;

    // [storage]; an empty data_folder means that the VM has no disk.
    std::string data_folder;
    std::vector<initial_voter> initial_voters;
    /// False on all starts but the first one of the whole system; no group is founded then.
    bool may_found_group = true;
    std::uint64_t snapshot_after_entries = 10'000;
    /// Bytes of log entries after which a snapshot is stored.
    std::uint64_t snapshot_after_bytes = 8 * 1024 * 1024;

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

    // [timing]
    duration endpoint_lease = seconds(5);
    duration gossip_interval = seconds(1);
    duration state_poll_interval = milliseconds(500);
    duration election_timeout = seconds(1);
    duration entry_list_max_age = seconds(10);
    duration drain_timeout = std::chrono::minutes(10);

    // [platform]; empty means that there is none.
    network_address cloud_api;
    network_address weight_store;

    pass_through_settings pass_through;
};

/// Parses and checks a settings file. Throws settings_error.
settings parse_settings(std::string const& file, std::string const& text);
settings load_settings(std::string const& path);

} // namespace lagoonladder::config

#endif
