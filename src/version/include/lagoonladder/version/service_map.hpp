#ifndef LAGOONLADDER_VERSION_SERVICE_MAP_HPP
#define LAGOONLADDER_VERSION_SERVICE_MAP_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::version
{

/// What an entry may do with a call of which it does not know the outcome.
enum class retry_policy
{
    /// May be sent to another endpoint.
    idempotent,
    /// Must not reach a second endpoint once it may have run.
    at_most_once
};

/// One part of a weighted split of a route.
struct weighted_service
{
    service_name service;
    std::uint32_t weight = 1;
};

/// A pass-through route: calls of one host below one path prefix.
struct pass_through_route
{
    route_name name;
    std::string host;
    /// Begins and ends with "/".
    std::string path_prefix;
    retry_policy retry = retry_policy::at_most_once;
    /// The answer is a stream of events.
    bool is_stream = false;
    /// A broken stream may continue at another endpoint after its last event.
    bool is_resumable = false;
    /// Calls whose prompts share parts go to the same endpoints.
    bool has_prefix_affinity = false;
    /// Calls need no account key.
    bool is_anonymous = false;
    /// Longest time to the final answer.
    duration timeout = seconds(30);
    /// Time to the answer, or to the first event of a stream, at which a call is on time.
    duration latency_objective = seconds(1);
    /// Longest pause between two events at which a stream is on time; zero when unset.
    duration gap_objective{};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Endpoints that one call may be sent to.
    std::uint32_t max_attempts = 1;
    std::vector<weighted_service> split;
};

/// Capacity that may be ordered for a service, for each data centre.
struct scaling_limits
{
    std::uint32_t min_replicas = 0;
    std::uint32_t max_replicas = 0;
    duration start_time{};
    /// Price of a reclaimable replica relative to an on-demand one.
    double reclaimable_price = 1;
    std::map<data_centre_id, double> prices;
};

/// A service that pass-through routes lead to.
struct pass_through_service
{
    service_name name;
    std::string health_path;
    /// Connections that one endpoint accepts from all entries together.
    std::uint32_t max_connections = 0;
    /// The endpoints are model engines that batch requests.
    bool is_engine = false;
    std::uint32_t engine_slots = 0;
    std::uint64_t engine_memory_tokens = 0;
    std::optional<scaling_limits> scaling;
};

/// Tokens that a client account may use, over all entries together.
struct token_quota
{
    double tokens_per_second = 0;
    double burst = 0;
    /// What a call counts that states no token figures.
    std::uint64_t default_tokens = 1;
};

/// A client account of pass-through calls.
struct pass_through_account
{
    account_id name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority;
    std::optional<token_quota> quota;
};

/// Bounds on what a caller may send.
struct caller_limits
{
    std::uint64_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 4 * 1024 * 1024;
    duration header_timeout = seconds(3);
    duration idle_timeout = seconds(15);
};

/// The whole pass-through configuration. Numbers are chosen by the operator; the
/// highest one is in force.
struct service_map
{
    std::uint64_t number = 0;
    std::vector<pass_through_route> routes;
    std::vector<pass_through_service> services;
    std::vector<pass_through_account> accounts;
    caller_limits limits;
};

/// Why the map cannot be put in force; empty when it can.
std::string find_problem(service_map const& map);

void to_json(nlohmann::json& out, service_map const& in);
void from_json(nlohmann::json const& in, service_map& out);

/// What an operator has sent as pass-through configuration.
struct service_configuration
{
    service_map map;
    /// The operator's text, returned as it was sent.
    std::string document;
};

/// A protocol buffer. decode_service_configuration throws parse_error on damaged bytes.
std::string encode(service_configuration const& value);
service_configuration decode_service_configuration(std::string const& bytes);

/// A service map with the look-ups that each call needs. Immutable.
class service_index
{
public:
    explicit service_index(service_map source);

    // The look-ups point into the map.
    service_index(service_index const&) = delete;
    service_index& operator=(service_index const&) = delete;

    service_map const& map() const { return this->source; }

    /// The route of the host with the longest prefix of the path, or nullptr.
    pass_through_route const* find_route(std::string_view host, std::string_view path) const;
    pass_through_service const* find_service(service_name const& name) const;
    pass_through_account const* find_account_by_key(std::string const& key) const;
    pass_through_account const* find_account(account_id const& name) const;
    bool has_accounts() const { return !this->source.accounts.empty(); }

private:
    service_map source;
    /// Routes of a host by prefix.
    std::map<std::string, std::map<std::string, pass_through_route const*, std::less<>>,
             std::less<>>
        hosts;
    std::map<service_name, pass_through_service const*> services;
    std::map<std::string, pass_through_account const*> keys;
};

} // namespace lagoonladder::version

#endif
