#include <lagoonladder/daemon/settings.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <sstream>

namespace lagoonladder::daemon
{

namespace
{

/// Reads keys of one section and names file and line in each error.
class section_reader
{
public:
    section_reader(ini_document const& source, ini_section const* section)
        : document(source)
        , current(section)
    {
    }

    ini_entry const* find(char const* key) const
    {
        return this->current ? this->current->find(key) : nullptr;
    }

    std::string text(char const* key, std::string fallback = {}) const
    {
        auto const* entry = this->find(key);
        return entry ? entry->value : fallback;
    }

    std::string required(char const* section, char const* key) const
    {
        auto const* entry = this->find(key);
        if (entry && !entry->value.empty())
            return entry->value;
        int const line = entry ? entry->line : this->current ? this->current->line : 1;
        throw settings_error(
            locate(this->document.at(line),
                   "key \"" + std::string(key) + "\" of section [" + section + "] is required"));
    }

    [[noreturn]] void fail(ini_entry const& entry, std::string const& problem) const
    {
        throw settings_error(
            locate(this->document.at(entry.line), "key \"" + entry.key + "\": " + problem));
    }

    std::uint64_t number(char const* key, std::uint64_t fallback, std::uint64_t low,
                         std::uint64_t high) const
    {
        auto const* entry = this->find(key);
        if (!entry)
            return fallback;
        std::uint64_t value = 0;
        auto const* end = entry->value.data() + entry->value.size();
        auto const parsed = std::from_chars(entry->value.data(), end, value);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            this->fail(*entry, "\"" + entry->value + "\" is not a whole number");
        if (value < low || value > high)
            this->fail(*entry,
                       "must be from " + std::to_string(low) + " to " + std::to_string(high));
        return value;
    }

    std::uint64_t bytes(char const* key, std::uint64_t fallback, std::uint64_t low,
                        std::uint64_t high) const
    {
        auto const* entry = this->find(key);
        if (!entry)
            return fallback;
        std::uint64_t value = 0;
        try
        {
            value = parse_byte_count(entry->value);
        }
        catch (parse_error const& problem)
        {
            this->fail(*entry, problem.what());
        }
        if (value < low || value > high)
            this->fail(*entry, "must be from " + std::to_string(low) + " B to " +
                                   std::to_string(high) + " B");
        return value;
    }

    duration span(char const* key, duration fallback, duration low, duration high) const
    {
        auto const* entry = this->find(key);
        if (!entry)
            return fallback;
        duration value{};
        try
        {
            value = parse_duration(entry->value);
        }
        catch (parse_error const& problem)
        {
            this->fail(*entry, problem.what());
        }
        if (value < low || value > high)
            this->fail(*entry, "must be from " + std::to_string(low.count()) + " us to " +
                                   std::to_string(high.count()) + " us");
        return value;
    }

    network_address checked_address(ini_entry const& entry, std::string const& text) const
    {
        auto const colon = text.rfind(':');
        std::uint32_t port = 0;
        if (colon != std::string::npos)
        {
            auto const* end = text.data() + text.size();
            auto const parsed = std::from_chars(text.data() + colon + 1, end, port);
            if (parsed.ec != std::errc() || parsed.ptr != end)
                port = 0;
        }
        in_addr parsed_host{};
        if (port == 0 || port > 65535 ||
            inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed_host) != 1)
            this->fail(entry, "\"" + text + "\" is not an address such as 127.0.0.1:8101");
        return network_address(text);
    }

    network_address address(char const* key) const
    {
        auto const* entry = this->find(key);
        return entry ? this->checked_address(*entry, entry->value) : network_address();
    }

private:
    ini_document const& document;
    ini_section const* current;
};

std::vector<std::string> split_list(std::string const& text)
{
    std::vector<std::string> parts;
    std::istringstream input(text);
    for (std::string part; std::getline(input, part, ',');)
    {
        auto const first = part.find_first_not_of(' ');
        if (first != std::string::npos)
            parts.push_back(part.substr(first, part.find_last_not_of(' ') - first + 1));
    }
    return parts;
}

void check_sections(ini_document const& document)
{
    for (auto const& section : document.sections)
    {
        if (!section.name.empty())
            throw settings_error(
                locate(document.at(section.line), "section [" + section.kind + "] takes no name"));
        if (section.kind == "vm")
            document.require_known_keys(section, {"id", "data_centre", "zone"});
        else if (section.kind == "listen")
            document.require_known_keys(section, {"http", "control"});
        else if (section.kind == "peers")
            document.require_known_keys(section, {"seeds"});
        else if (section.kind == "storage")
            document.require_known_keys(
                section, {"data_folder", "initial_voters", "snapshot_after_entries"});
        else if (section.kind == "security")
            document.require_known_keys(section,
                                        {"operator_token", "endpoint_token", "cluster_token"});
        else if (section.kind == "log")
            document.require_known_keys(section, {"level"});
        else if (section.kind == "limits")
            document.require_known_keys(section, {"max_body", "max_connections",
                                                  "max_queued_requests", "max_stored_requests"});
        else if (section.kind == "timing")
            document.require_known_keys(section, {"endpoint_lease", "gossip_interval",
                                                  "state_poll_interval", "election_timeout",
                                                  "entry_list_max_age", "drain_timeout"});
        else if (section.kind == "platform")
            document.require_known_keys(section, {"cloud_api", "weight_store"});
        else
            throw settings_error(
                locate(document.at(section.line), "unknown section [" + section.kind + "]"));
    }
}

void parse_vm(ini_document const& document, settings& result)
{
    section_reader const vm(document, document.find("vm"));
    result.vm = vm_id(vm.required("vm", "id"));
    bool const usable =
        std::all_of(result.vm.value().begin(), result.vm.value().end(),
                    [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_'; });
    if (!usable)
        vm.fail(*vm.find("id"), "may hold letters, digits, '-' and '_' only");
    result.data_centre = data_centre_id(vm.required("vm", "data_centre"));
    result.zone = zone_id(vm.text("zone", result.data_centre.value()));
}

void parse_network(ini_document const& document, settings& result)
{
    section_reader const listen(document, document.find("listen"));
    listen.required("listen", "http");
    listen.required("listen", "control");
    result.http = listen.address("http");
    result.control = listen.address("control");
    section_reader const peers(document, document.find("peers"));
    for (auto const& seed : split_list(peers.text("seeds")))
        result.seeds.push_back(peers.checked_address(*peers.find("seeds"), seed));
    section_reader const platform(document, document.find("platform"));
    result.cloud_api = platform.address("cloud_api");
    result.weight_store = platform.address("weight_store");
}

void parse_storage(ini_document const& document, settings& result)
{
    section_reader const storage(document, document.find("storage"));
    result.data_folder = storage.text("data_folder");
    for (auto const& voter : split_list(storage.text("initial_voters")))
    {
        auto const& entry = *storage.find("initial_voters");
        auto const at = voter.find('@');
        if (at == std::string::npos || at == 0)
            storage.fail(entry, "\"" + voter + "\" is not of the form VM@ADDRESS:PORT");
        result.initial_voters.push_back(
            {vm_id(voter.substr(0, at)), storage.checked_address(entry, voter.substr(at + 1))});
    }
    if (!result.data_folder.empty() && result.initial_voters.empty())
        throw settings_error(locate(document.at(document.find("storage")->line),
                                    "a data_folder needs initial_voters"));
    result.snapshot_after_entries =
        storage.number("snapshot_after_entries", result.snapshot_after_entries, 100, 10'000'000);
}

void parse_security(ini_document const& document, settings& result)
{
    section_reader const security(document, document.find("security"));
    result.operator_token = security.required("security", "operator_token");
    result.endpoint_token = security.required("security", "endpoint_token");
    result.cluster_token = security.required("security", "cluster_token");
}

void parse_log(ini_document const& document, settings& result)
{
    section_reader const log(document, document.find("log"));
    auto const* level = log.find("level");
    if (!level)
        return;
    static constexpr std::array<char const*, 4> names{"debug", "info", "warning", "error"};
    auto const found = std::find(names.begin(), names.end(), level->value);
    if (found == names.end())
        log.fail(*level, "must be debug, info, warning or error");
    result.log_level = static_cast<severity>(found - names.begin());
}

void parse_limits(ini_document const& document, settings& result)
{
    section_reader const limits(document, document.find("limits"));
    result.max_body_bytes = limits.bytes("max_body", result.max_body_bytes, 1024, 64 * 1024 * 1024);
    result.max_connections = static_cast<std::uint32_t>(
        limits.number("max_connections", result.max_connections, 8, 16'384));
    result.max_queued_requests = static_cast<std::uint32_t>(
        limits.number("max_queued_requests", result.max_queued_requests, 1, 1'000'000));
    result.max_stored_requests = static_cast<std::uint32_t>(
        limits.number("max_stored_requests", result.max_stored_requests, 10, 1'000'000));
}

void parse_timing(ini_document const& document, settings& result)
{
    section_reader const timing(document, document.find("timing"));
    using std::chrono::hours;
    using std::chrono::minutes;
    result.endpoint_lease =
        timing.span("endpoint_lease", result.endpoint_lease, milliseconds(500), minutes(5));
    result.gossip_interval =
        timing.span("gossip_interval", result.gossip_interval, milliseconds(50), seconds(10));
    result.state_poll_interval = timing.span("state_poll_interval", result.state_poll_interval,
                                             milliseconds(50), seconds(5));
    result.election_timeout =
        timing.span("election_timeout", result.election_timeout, milliseconds(150), seconds(30));
    result.entry_list_max_age =
        timing.span("entry_list_max_age", result.entry_list_max_age, seconds(1), hours(1));
    result.drain_timeout =
        timing.span("drain_timeout", result.drain_timeout, seconds(1), hours(24));
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
        parse_network(document, result);
        parse_storage(document, result);
        parse_security(document, result);
        parse_log(document, result);
        parse_limits(document, result);
        parse_timing(document, result);
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

} // namespace lagoonladder::daemon
