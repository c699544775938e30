#ifndef LAGOONLADDER_VERSION_CONFIGURATION_HPP
#define LAGOONLADDER_VERSION_CONFIGURATION_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::version
{

/// Thrown for an invalid configuration file. The message names the file and line.
class configuration_error : public error
{
public:
    using error::error;
};

enum class service_kind
{
    model_engine,
    plain
};

/// How a move ends that is undecided at `finish_by`: the full share was not reached, there were
/// too few requests to compare the versions, or there are signs of a worse version.
enum class undecided_choice
{
    finish,
    reverse
};

/// Section [service NAME].
struct service_config
{
    service_name name;
    service_kind kind = service_kind::plain;
    /// Version that receives the traffic. Changing it starts a move.
    version_name version;
    /// Time by which a move to `version` has to be finished.
    std::optional<wall_time> finish_by;
    /// Maximum time of a move, used when `finish_by` is not set.
    duration finish_within = std::chrono::minutes(10);
    undecided_choice on_undecided = undecided_choice::reverse;
    /// Time for which the versions are still compared after the new one has reached the full
    /// share.
    duration watch = std::chrono::minutes(5);
    /// Time limit of a request that does not state one.
    duration default_timeout = seconds(30);
    /// Time limit of a draft that does not state one. Drafts may wait longer in the queue.
    duration draft_timeout = std::chrono::minutes(10);
    /// An attempt that receives no byte for this time is abandoned. Model engines send
    /// keep-alive comments while a request waits. Plain services send nothing before the
    /// response, so their default is longer.
    duration progress_timeout = seconds(2);
    static constexpr duration plain_progress_timeout = seconds(10);
    /// Maximum ratio of retries to first attempts.
    double retry_budget = 0.1;
    /// Path template with {key} under which the service reports the outcome of a
    /// non-idempotent call. Empty if the service has no such path.
    std::string status_lookup;
};

/// Section [route NAME]. Of the matching routes, the one with the longest path applies.
struct route_config
{
    route_name name;
    service_name service;
    /// "*" matches every method.
    std::string method = "*";
    std::string path = "/";
    bool idempotent = false;
    /// The file has no `idempotent` key for this route, so the method of a call decides, as
    /// for a call without a route.
    bool idempotent_by_method = false;
};

/// Section [account NAME].
struct account_config
{
    account_id name;
    /// SHA-256 of the account key in lower-case hexadecimal digits.
    std::string key_sha256;
    /// Weight of the account in the fair queue.
    std::uint32_t share = 1;
};

/// The content of a configuration file.
struct configuration
{
    std::map<service_name, service_config> services;
    std::vector<route_config> routes;
    std::map<account_id, account_config> accounts;

    service_config const* find_service(service_name const& name) const;
    account_config const* find_account_by_key_hash(std::string const& key_sha256) const;
    /// Returns the route that applies to a call, or nullptr. The longest path prefix takes
    /// precedence, then an exact method over "*". A prefix has to end at a "/" or "?" of
    /// the path, so "/status" does not match "/statusreset".
    route_config const* find_route(service_name const& service, std::string const& method,
                                   std::string const& path) const;
    /// Without a route, or if the route does not state it, GET, HEAD and OPTIONS are idempotent.
    bool is_idempotent(service_name const& service, std::string const& method,
                       std::string const& path) const;
};

/// Parses and validates a configuration. `file` is the name used in error messages.
/// Throws configuration_error.
configuration parse_configuration(std::string const& file, std::string const& text);

/// Returns the SHA-256 digest in lower-case hexadecimal digits.
std::string sha256_hex(std::string const& text);

} // namespace lagoonladder::version

#endif
