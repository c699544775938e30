#include <lagoonladder/config/settings.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <fstream>
#include <sstream>

namespace lagoonladder::config
{

namespace
{

void check_sections(ini_document const& document)
{
    for (auto const& section : document.sections)
    {
        if (!section.name.empty())
            throw settings_error(
                locate(document.at(section.line), "section [" + section.kind + "] takes no name"));
        if (section.kind == "vm")
            document.require_known_keys(section, {"id", "data_centre", "zone"});
        else if (section.kind == "data_centres")
            continue;
        else if (section.kind == "listen")
            document.require_known_keys(section, {"http", "control"});
        else if (section.kind == "peers")
            document.require_known_keys(section, {"seeds", "port"});
        else if (section.kind == "storage")
            document.require_known_keys(section, {"data_folder", "initial_voters", "founders",
                                                  "may_found_group", "snapshot_after_entries",
                                                  "snapshot_after"});
        else if (section.kind == "fault_tolerance")
            document.require_known_keys(section, {"disks"});
        else if (section.kind == "security")
            document.require_known_keys(section,
                                        {"operator_token", "endpoint_token", "cluster_token"});
        else if (section.kind == "log")
            document.require_known_keys(section, {"level"});
        else if (section.kind == "limits")
            document.require_known_keys(section, {"max_body", "max_connections",
                                                  "max_queued_requests", "max_stored_requests",
                                                  "max_request_memory", "socket_buffer"});
        else if (section.kind == "timing")
            document.require_known_keys(section, {"endpoint_lease", "gossip_interval",
                                                  "state_poll_interval", "election_timeout",
                                                  "entry_list_max_age", "drain_timeout"});
        else if (section.kind == "platform")
            document.require_known_keys(section, {"cloud_api", "weight_store"});
        else if (section.kind == "pass_through")
            document.require_known_keys(section, {"callers",           "control",
                                                  "directory",         "readiness",
                                                  "metrics",           "platform_api",
                                                  "max_connections",   "retry_share",
                                                  "retry_burst",       "retry_window",
                                                  "quota_span",        "quota_overshoot",
                                                  "quota_tolerance",   "exposure_share",
                                                  "exposure_requests", "start_pace",
                                                  "cold_overshoot",    "cold_slack",
                                                  "usage_window",      "duty_lease",
                                                  "directory_age",     "overload_admission",
                                                  "engine_capacity",   "order_resend_time"});
        else
            throw settings_error(
                locate(document.at(section.line), "unknown section [" + section.kind + "]"));
    }
}

void parse_vm(ini_document const& document, settings& result)
{
    ini_section_reader const vm(document, "vm");
    result.vm = vm_id(vm.require("id"));
    bool const is_valid =
        std::all_of(result.vm.value().begin(), result.vm.value().end(),
                    [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_'; });
    if (!is_valid)
        vm.fail_at("id", "may hold letters, digits, '-' and '_' only");
    result.data_centre = data_centre_id(vm.require("data_centre"));
    auto zone = result.data_centre.value();
    vm.read("zone", zone);
    result.zone = zone_id(zone);
}

/// Reads the section [data_centres], whose keys are the data centres.
void parse_data_centres(ini_document const& document, settings& result)
{
    auto const* section = document.find("data_centres");
    if (section == nullptr)
        return;
    for (auto const& entry : section->entries)
        result.data_centres.emplace(data_centre_id(entry.key), region_id(entry.value));
}

/// Replaces the port of each address by the key "port" of section [peers], if it is set, because
/// a configured address may name another port of the entry than the one for other daemons.
void replace_ports(ini_section_reader const& peers, std::vector<network_address>& addresses)
{
    std::uint32_t port = 0;
    peers.read_count("port", port, 1, 65535);
    if (port == 0)
        return;
    for (auto& address : addresses)
    {
        auto const& text = address.value();
        address = network_address(text.substr(0, text.rfind(':') + 1) + std::to_string(port));
    }
}

void parse_network(ini_document const& document, settings& result)
{
    ini_section_reader const listen(document, "listen");
    listen.require("http");
    listen.require("control");
    listen.read("http", result.http);
    listen.read("control", result.control);
    ini_section_reader const peers(document, "peers");
    peers.read("seeds", result.seeds);
    replace_ports(peers, result.seeds);
    ini_section_reader const platform(document, "platform");
    platform.read("cloud_api", result.cloud_api);
    platform.read("weight_store", result.weight_store);
}

initial_voter parse_initial_voter(ini_section_reader const& storage, std::string const& text)
{
    auto const at = text.find('@');
    if (at == std::string::npos || at == 0)
        storage.fail_at("initial_voters", "\"" + text + "\" is not of the form VM@ADDRESS:PORT");
    try
    {
        return {vm_id(text.substr(0, at)), parse_network_address(text.substr(at + 1))};
    }
    catch (parse_error const& problem)
    {
        storage.fail_at("initial_voters", problem.what());
    }
}

void parse_storage(ini_document const& document, settings& result)
{
    ini_section_reader const storage(document, "storage");
    storage.read("data_folder", result.data_folder);
    std::string voters;
    storage.read("initial_voters", voters);
    for (auto const& voter : split_list(voters))
        result.initial_voters.push_back(parse_initial_voter(storage, voter));
    std::vector<network_address> founders;
    storage.read("founders", founders);
    if (!founders.empty() && !result.initial_voters.empty())
        storage.fail_at("founders",
                        "cannot be combined with initial_voters; only one of them may be set");
    replace_ports(ini_section_reader(document, "peers"), founders);
    for (auto const& address : founders)
        result.initial_voters.push_back({vm_id(), address});
    if (!result.data_folder.empty() && result.initial_voters.empty())
        storage.fail_at("data_folder", "a data_folder needs initial_voters");
    storage.read("may_found_group", result.may_found_group);
    storage.read_bytes("snapshot_after", result.snapshot_after_bytes, 64 * 1024,
                       1024 * 1024 * 1024);
    storage.read_count("snapshot_after_entries", result.snapshot_after_entries, 100, 10'000'000);
    ini_section_reader const fault_tolerance(document, "fault_tolerance");
    fault_tolerance.read_count("disks", result.tolerated_disk_losses, 0, 100);
}

void parse_security(ini_document const& document, settings& result)
{
    ini_section_reader const security(document, "security");
    result.operator_token = security.require("operator_token");
    result.endpoint_token = security.require("endpoint_token");
    result.cluster_token = security.require("cluster_token");
}

void parse_log(ini_document const& document, settings& result)
{
    ini_section_reader const log(document, "log");
    auto const* level = log.find("level");
    if (!level)
        return;
    // In the order of the values of severity.
    static constexpr std::array<char const*, 4> level_names{"debug", "info", "warning", "error"};
    auto const found = std::find(level_names.begin(), level_names.end(), level->value);
    if (found == level_names.end())
        log.fail(*level, "must be debug, info, warning or error");
    result.log_level = static_cast<severity>(found - level_names.begin());
}

void parse_limits(ini_document const& document, settings& result)
{
    ini_section_reader const limits(document, "limits");
    limits.read_bytes("max_body", result.max_body_bytes, 1024, 64 * 1024 * 1024);
    limits.read_count("max_connections", result.max_connections, 8, 16'384);
    limits.read_count("max_queued_requests", result.max_queued_requests, 1, 1'000'000);
    limits.read_count("max_stored_requests", result.max_stored_requests, 10, 1'000'000);
    limits.read_bytes("max_request_memory", result.max_request_memory, 1024 * 1024,
                      64ULL * 1024 * 1024 * 1024);
    limits.read_bytes("socket_buffer", result.socket_buffer, 4 * 1024, 16 * 1024 * 1024);
}

void parse_timing(ini_document const& document, settings& result)
{
    ini_section_reader const timing(document, "timing");
    using std::chrono::hours;
    using std::chrono::minutes;
    timing.read("endpoint_lease", result.endpoint_lease, milliseconds(500), minutes(5));
    timing.read("gossip_interval", result.gossip_interval, milliseconds(50), seconds(10));
    timing.read("state_poll_interval", result.state_poll_interval, milliseconds(50), seconds(5));
    timing.read("election_timeout", result.election_timeout, milliseconds(150), seconds(30));
    timing.read("entry_list_max_age", result.entry_list_max_age, seconds(1), hours(1));
    timing.read("drain_timeout", result.drain_timeout, seconds(1), hours(24));
}

void parse_start_pace(ini_section_reader const& section, pass_through_settings& out)
{
    auto const* pace = section.find("start_pace");
    if (!pace)
        return;
    if (pace->value != "learned" && pace->value != "fixed")
        section.fail(*pace, "must be learned or fixed");
    out.start_pace = pace->value == "learned" ? start_pace::learned : start_pace::fixed;
}

void parse_engine_capacity(ini_section_reader const& section, pass_through_settings& out)
{
    auto const* capacity = section.find("engine_capacity");
    if (!capacity)
        return;
    if (capacity->value != "measured" && capacity->value != "fixed")
        section.fail(*capacity, "must be measured or fixed");
    out.engine_capacity =
        capacity->value == "measured" ? engine_capacity::measured : engine_capacity::fixed;
}

void parse_pass_through(ini_document const& document, settings& result)
{
    ini_section_reader const section(document, "pass_through");
    auto& out = result.pass_through;
    section.read("callers", out.callers);
    section.read("control", out.control);
    section.read("directory", out.directory);
    section.read("readiness", out.readiness);
    section.read("metrics", out.metrics);
    section.read("platform_api", out.platform_api);
    section.read_count("max_connections", out.max_connections, 8, 65'536);
    section.read_number("retry_share", out.retry_share, 0, 1);
    section.read_number("retry_burst", out.retry_burst, 0, 1'000'000);
    section.read("retry_window", out.retry_window, milliseconds(1), std::chrono::hours(1));
    section.read("quota_span", out.quota_window, milliseconds(1), std::chrono::hours(1));
    section.read_number("quota_overshoot", out.quota_overshoot, 0, 10);
    section.read_number("quota_tolerance", out.quota_tolerance, 0, 1e12);
    section.read_number("exposure_share", out.exposure_share, 0, 1);
    section.read_number("exposure_requests", out.exposure_requests, 0, 1e9);
    parse_start_pace(section, out);
    section.read_number("cold_overshoot", out.cold_overshoot, 0, 100);
    section.read_number("cold_slack", out.cold_slack, 0, 1'000'000);
    section.read("overload_admission", out.has_overload_admission);
    parse_engine_capacity(section, out);
    section.read("usage_window", out.usage_window, seconds(1), std::chrono::hours(1));
    section.read("duty_lease", out.duty_lease, milliseconds(100), std::chrono::minutes(5));
    section.read("order_resend_time", out.order_resend_time, milliseconds(100),
                 std::chrono::hours(1));
    section.read("directory_age", out.directory_max_age, milliseconds(100),
                 std::chrono::minutes(5));
}

} // namespace

settings parse_settings(std::string const& file, std::string const& text)
{
    try
    {
        auto const document = parse_ini(file, text);
        check_sections(document);
        settings result;
        parse_vm(document, result);
        parse_data_centres(document, result);
        parse_network(document, result);
        parse_storage(document, result);
        parse_security(document, result);
        parse_log(document, result);
        parse_limits(document, result);
        parse_timing(document, result);
        parse_pass_through(document, result);
        return result;
    }
    catch (parse_error const& problem)
    {
        throw settings_error(problem.what());
    }
}

settings load_settings(std::string const& path)
{
    std::ifstream input(path, std::ios::binary);
    if (!input)
        throw settings_error(path + ": cannot be read");
    std::ostringstream text;
    text << input.rdbuf();
    return parse_settings(path, text.str());
}

} // namespace lagoonladder::config
