#ifndef LAGOONLADDER_VERSION_CONFIGURATION_HPP
#define LAGOONLADDER_VERSION_CONFIGURATION_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::version
{

/// An operator's configuration file that is not valid; the text names file and line.
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

/// What a move does when the traffic was too thin to decide by its stated time.
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
    /// The version that gets the traffic; a change of it starts a move.
    version_name version;
    /// When the move to `version` has to be finished.
    std::optional<wall_time> finish_by;
    /// Used when finish_by is not set.
    duration finish_within = std::chrono::minutes(10);
    undecided_choice on_undecided = undecided_choice::reverse;
    /// How long the versions are still compared after the full share was reached.
    duration watch = std::chrono::minutes(5);
    /// Deadline of a request that does not state one.
    duration default_timeout = seconds(30);
    /// The same for drafts, which may wait but have to finish.
    duration draft_timeout = std::chrono::minutes(10);
    /// An attempt without a byte for this long is abandoned. Model engines send
    /// keep-alive comments while they wait; plain services send nothing until
    /// they answer, so their default is longer.
    duration progress_timeout = seconds(2);
    static constexpr duration plain_progress_timeout = seconds(10);
    /// Retries as a share of first attempts.
    double retry_budget = 0.1;
    /// Path template with {key} under which the service tells what became of a
    /// non-idempotent call; empty when it has none.
    std::string status_lookup;
};

/// Section [route NAME]; the longest matching path prefix decides.
struct route_config
{
    route_name name;
    service_name service;
    /// "*" matches every method.
    std::string method = "*";
    std::string path = "/";
    bool idempotent = false;
    /// The file states nothing: the method decides, as it does without a route.
    bool idempotent_by_method = false;
};

/// Section [account NAME].
struct account_config
{
    account_id name;
    /// SHA-256 of the account key in lower-case hexadecimal digits.
    std::string key_sha256;
    /// Weight in the fair queue.
    std::uint32_t share = 1;
};

/// A whole configuration file.
struct configuration
{
    std::map<service_name, service_config> services;
    std::vector<route_config> routes;
    std::map<account_id, account_config> accounts;

    service_config const* find_service(service_name const& name) const;
    account_config const* find_account_by_key_hash(std::string const& key_sha256) const;
    /// The route that applies, or nullptr; GET, HEAD and OPTIONS are idempotent then.
    /// The longest path prefix wins, then an exact method over "*". A prefix ends at
    /// a "/" or "?" of the path, so "/status" does not match "/statusreset".
    route_config const* find_route(service_name const& service, std::string const& method,
                                   std::string const& path) const;
    bool is_idempotent(service_name const& service, std::string const& method,
                       std::string const& path) const;
};

/// Parses and checks a configuration. Throws configuration_error.
configuration parse_configuration(std::string const& file, std::string const& text);

/// SHA-256 in lower-case hexadecimal digits.
std::string sha256_hex(std::string const& text);

} // namespace lagoonladder::version

#endif
