#ifndef LAGOONLADDER_VERSION_SHARED_STATE_HPP
#define LAGOONLADDER_VERSION_SHARED_STATE_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <lagoonladder/version/configuration.hpp>
#include <lagoonladder/version/content.hpp>
#include <lagoonladder/version/evacuation.hpp>
#include <lagoonladder/version/service_map.hpp>

namespace lagoonladder::version
{

enum class move_state
{
    running,
    finished,
    reversed
};

/// A version move, running or ended.
struct move_record
{
    service_name service;
    version_name from;
    version_name to;
    wall_time started{};
    wall_time finish_by{};
    /// Share of the traffic that `to` receives, 0 to 1.
    double share = 0;
    move_state state = move_state::running;
    /// Time at which `to` reached the full share.
    std::optional<wall_time> full_since;
    std::optional<wall_time> ended;
    std::string reason;
    /// Figures that support the reason, for example "failures_new" = "12/40".
    std::map<std::string, std::string> figures;
    /// Generation of the configuration that started the move. For a pass-through service, the
    /// log index of the command that started it.
    lagoonladder::generation generation;
    /// Log index of the latest order for the move of a pass-through service.
    std::uint64_t number = 0;
    /// Time of that order.
    wall_time ordered{};
    /// Whether the move was reversed because `to` was shown to be worse than `from`.
    bool is_shown_worse = false;
};

/// Whether the move is one to the version in service. It replaces endpoints by others of the same
/// version; no share of the traffic is moved, and the version is never marked as reversed.
inline bool is_renewal(move_record const& move)
{
    return move.from == move.to;
}

/// Returns the number of the latest order for the moves of a pass-through service; 0 without one.
std::uint64_t latest_order(std::vector<move_record> const& moves, service_name const& service);

/// Times are microseconds since 1970, `share` is 0 to 1.
void to_json(nlohmann::json& out, move_record const& in);
void from_json(nlohmann::json const& in, move_record& out);

/// How the traffic of a service is split between two versions.
struct traffic_split
{
    version_name stable;
    /// Empty when no move is running.
    version_name candidate;
    double candidate_share = 0;

    /// Returns the version for a request. At equal shares, an id always gets the same one.
    version_name choose(request_id const& id) const;
};

/// The part of the control state that every daemon needs. Immutable. Daemons without a log
/// receive it as a small shared_status and fetch only the contents that they lack.
struct shared_state
{
    /// Index of the last log entry that it reflects.
    std::uint64_t applied_index = 0;
    /// Index of the last log entry that changed one of the members below.
    std::uint64_t changed_index = 0;
    lagoonladder::generation generation;
    /// Name and text of the configuration file.
    std::string file;
    std::string text;
    version::configuration configuration;
    /// Packed `file` and `text`; empty before the first configuration.
    packed_content configuration_content;
    std::vector<move_record> moves;
    std::map<service_name, traffic_split> splits;
    evacuation_records evacuations;
    /// Pass-through configuration in force; null before the first one.
    std::shared_ptr<service_index const> services;
    /// Packed pass-through configuration with the operator's text.
    packed_content service_content;
};

/// The shared state with the digests of its contents in place of the contents.
struct shared_status
{
    std::uint64_t applied_index = 0;
    std::uint64_t changed_index = 0;
    lagoonladder::generation generation;
    std::vector<move_record> moves;
    std::map<service_name, traffic_split> splits;
    evacuation_records evacuations;
    content_digest configuration_content;
    content_digest service_content;
};

shared_status status_of(shared_state const& state);

/// Returns the digests of the contents that a status refers to and the daemon's `local_state`
/// lacks.
std::vector<content_digest> missing_contents(shared_status const& status,
                                             shared_state const& local_state);

/// Builds the state that a status describes. Contents that `local_state` has are taken from it
/// without parsing them again; the others are taken from `fetched`. Throws parse_error if a
/// content is missing or cannot be read.
shared_state make_shared_state(shared_status const& status, shared_state const& local_state,
                               std::vector<packed_content> const& fetched);

/// Encodes as MessagePack. decode_shared_status throws parse_error on damaged bytes.
std::string encode(shared_status const& value);
shared_status decode_shared_status(std::string const& bytes);

} // namespace lagoonladder::version

#endif
