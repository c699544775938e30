#ifndef LAGOONLADDER_VERSION_SERVICE_MAP_HPP
#define LAGOONLADDER_VERSION_SERVICE_MAP_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonladder/base.hpp>
#include <lagoonladder/base/region.hpp>

namespace lagoonladder::version
{

/// Whether a call with an unknown outcome may be sent again.
enum class retry_policy
{
    /// The call may be sent to another endpoint.
    idempotent,
    /// The call must not be sent to another endpoint if it may have run.
    at_most_once
};

/// A service and its weight in the split of a route.
struct weighted_service
{
    service_name service;
    std::uint32_t weight = 1;
};

/// A pass-through route: the calls to one host below one path prefix.
struct pass_through_route
{
    route_name name;
    std::string host;
    /// Begins and ends with "/".
    std::string path_prefix;
    retry_policy retry = retry_policy::at_most_once;
    /// The response is a stream of events.
    bool is_stream = false;
    /// A broken stream may be continued at another endpoint after its last event.
    bool is_resumable = false;
    /// Calls whose prompts share a prefix are sent to the same endpoints.
    bool has_prefix_affinity = false;
    /// Calls are accepted without an account key.
    bool is_anonymous = false;
    /// Maximum time until the response is complete.
    duration timeout = seconds(30);
    /// Maximum time to the response, or to the first event of a stream, of a call that meets
    /// its objective.
    duration latency_objective = seconds(1);
    /// Maximum pause between two events of a stream that meets its objective; zero if unset.
    duration gap_objective{};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Maximum number of endpoints that one call is sent to.
    std::uint32_t max_attempts = 1;
    std::vector<weighted_service> split;
    /// Regions whose endpoints may serve the route; empty for all.
    std::vector<region_id> regions;
};

/// Limits of the replicas that may be ordered for a service.
struct scaling_limits
{
    /// In each data centre.
    std::uint32_t min_replicas = 0;
    /// In each data centre.
    std::uint32_t max_replicas = 0;
    /// Time that a new replica needs to start.
    duration start_time{};
    /// Price of a reclaimable replica relative to an on-demand one.
    double reclaimable_price = 1;
    /// Price of a replica in each data centre.
    std::map<data_centre_id, double> prices;
};

/// A service that pass-through routes lead to.
struct pass_through_service
{
    service_name name;
    std::string health_path;
    /// Connections that one endpoint accepts from all entries together.
    std::uint32_t max_connections = 0;
    /// Whether the endpoints are model engines, which batch requests.
    bool is_engine = false;
    std::uint32_t engine_slots = 0;
    std::uint64_t engine_memory_tokens = 0;
    std::optional<scaling_limits> scaling;
    /// Requests per second that a cold endpoint bears from all entries together; 0 when there is
    /// no bound.
    double cold_rate = 0;
    /// Time for which an endpoint is cold after its start.
    duration cold_time{};
};

/// Rate of tokens that a client account may use at all entries together.
struct token_quota
{
    double tokens_per_second = 0;
    double burst = 0;
    /// Tokens counted for a call that states no token figures.
    std::uint64_t default_tokens = 1;
};

/// A client account of pass-through calls.
struct pass_through_account
{
    account_id name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority;
    std::optional<token_quota> quota;
    /// Regions whose endpoints may serve the account; empty for all.
    std::vector<region_id> regions;
};

/// Limits of the requests that a caller may send.
struct caller_limits
{
    std::uint64_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 4 * 1024 * 1024;
    duration header_timeout = seconds(3);
    duration idle_timeout = seconds(15);
};

/// A pass-through configuration. Its number is chosen by the operator; the configuration
/// with the highest number is in force.
struct service_map
{
    std::uint64_t number = 0;
    std::vector<pass_through_route> routes;
    std::vector<pass_through_service> services;
    std::vector<pass_through_account> accounts;
    /// Callers need the key of an account, except on anonymous routes. False only if the
    /// configuration has no list of accounts; an empty list admits nobody.
    bool requires_key = true;
    caller_limits limits;
};

/// Returns why the map cannot be put in force, or an empty text if it is valid.
std::string find_problem(service_map const& map);

void to_json(nlohmann::json& out, service_map const& in);
void from_json(nlohmann::json const& in, service_map& out);

/// A pass-through configuration with the text that the operator has sent.
struct service_configuration
{
    service_map map;
    /// The operator's text, which is returned to operators unchanged.
    std::string document;
};

/// Encodes as a protocol buffer. decode_service_configuration throws parse_error on damaged
/// bytes.
std::string encode(service_configuration const& value);
service_configuration decode_service_configuration(std::string const& bytes);

/// A service map with indexes for the look-ups of each call. Immutable.
class service_index
{
public:
    explicit service_index(service_map indexed_map);

    // Not copyable, since the indexes point into the map.
    service_index(service_index const&) = delete;
    service_index& operator=(service_index const&) = delete;

    service_map const& map() const { return this->source; }

    /// Returns the route of the host with the longest prefix of the path, or nullptr.
    pass_through_route const* find_route(std::string_view host, std::string_view path) const;
    pass_through_service const* find_service(service_name const& name) const;
    /// Returns nullptr for an unknown key. The empty key stands for a caller without one and is
    /// never known.
    pass_through_account const* find_account_by_key(std::string const& key) const;
    pass_through_account const* find_account(account_id const& name) const;
    bool requires_key() const { return this->source.requires_key; }

private:
    service_map source;
    /// Routes by host and path prefix.
    std::map<std::string, std::map<std::string, pass_through_route const*, std::less<>>,
             std::less<>>
        hosts;
    std::map<service_name, pass_through_service const*> services;
    std::map<std::string, pass_through_account const*> keys;
};

/// Returns the regions that may serve calls to the host; empty for all. A host has them if each of
/// its routes states some.
std::set<region_id> home_regions(service_index const& index, std::string_view host);

} // namespace lagoonladder::version

#endif
