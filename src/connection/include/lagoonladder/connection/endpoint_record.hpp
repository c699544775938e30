#ifndef LAGOONLADDER_CONNECTION_ENDPOINT_RECORD_HPP
#define LAGOONLADDER_CONNECTION_ENDPOINT_RECORD_HPP

#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include <lagoonladder/base.hpp>

namespace lagoonladder::connection
{

enum class endpoint_state
{
    serving,
    leaving
};

/// Load that an endpoint reported. It was measured some time before the report arrived.
struct load_report
{
    /// Number of requests that the endpoint runs.
    std::uint32_t running = 0;
    /// Number of requests in the endpoint's queue.
    std::uint32_t waiting = 0;
    /// Number of requests that the endpoint can run concurrently.
    std::uint32_t slots = 1;
    /// Generated tokens per second over the endpoint's last interval; 0 for plain services.
    double tokens_per_second = 0;
    /// How long work takes on the endpoint's machine now, as a multiple of the usual time. Stated
    /// in responses only, not in announcements.
    std::optional<double> relative_time = std::nullopt;
    /// False when `running` could not be read, so that the report does not state a load.
    bool has_running = true;
};

/// An endpoint as it announced itself; the content of a row of the endpoint directory. Entries
/// exchange these records by gossip. The record with the higher (incarnation, sequence) wins; for
/// an equal pair, `leaving`.
struct endpoint_record
{
    endpoint_id id;
    service_name service;
    version_name version;
    network_address address;
    vm_id vm;
    data_centre_id data_centre;
    zone_id zone;
    std::string machine_class;
    bool reclaimable = false;
    /// Whether the endpoint rejects orders with a stale fencing token.
    bool checks_fencing = false;
    endpoint_state state = endpoint_state::serving;
    /// A new number for each start of the endpoint.
    lagoonladder::incarnation incarnation;
    /// Increases with each announcement or renewal of the incarnation.
    std::uint64_t sequence = 0;
    load_report load;
    /// Time for which the endpoint stays cold, as of its renewal in digests and leaving marks, and
    /// as of the call in records that the directory lists. No value when it does not state it.
    std::optional<duration> cold_remaining;
    /// Time since an entry received the row from the endpoint, without the time that the row spent
    /// in messages between entries; in milliseconds on the wire. Set in digests and leaving marks
    /// only; zero in rows of daemons that do not send it.
    duration renewal_age{};
};

void to_json(nlohmann::json& out, load_report const& in);
void from_json(nlohmann::json const& in, load_report& out);
void to_json(nlohmann::json& out, endpoint_record const& in);
/// Throws nlohmann::json::exception that names the missing or invalid field.
void from_json(nlohmann::json const& in, endpoint_record& out);

} // namespace lagoonladder::connection

#endif
