#ifndef LAGOONLADDER_DAEMON_SETTINGS_HPP
#define LAGOONLADDER_DAEMON_SETTINGS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::daemon
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
    vm_id vm;
    network_address control;
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
    std::uint64_t snapshot_after_entries = 10'000;

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
};

/// Parses and checks a settings file. Throws settings_error.
settings parse_settings(std::string const& file, std::string const& text);
settings load_settings(std::string const& path);

} // namespace lagoonladder::daemon

#endif
