#ifndef LAGOONLADDER_CONNECTION_ENTRY_RECORD_HPP
#define LAGOONLADDER_CONNECTION_ENTRY_RECORD_HPP

#include <cstdint>
#include <map>

#include <nlohmann/json.hpp>

#include <lagoonladder/base.hpp>
#include <lagoonladder/base/engine_work.hpp>

namespace lagoonladder::connection
{

enum class entry_state
{
    serving,
    leaving
};

/// An entry as its daemon announces it by gossip; the content of a row of the entry directory. An
/// entry is a VM whose daemon accepts callers' connections.
struct entry_record
{
    vm_id vm;
    data_centre_id data_centre;
    zone_id zone;
    /// Address for HTTP callers.
    network_address http;
    /// Address for other daemons.
    network_address control;
    entry_state state = entry_state::serving;
    /// Wall-clock time of the daemon's start in microseconds, so that records of a restarted daemon
    /// supersede those of its earlier runs.
    lagoonladder::incarnation incarnation;
    /// Increases once per gossip interval.
    heartbeat_count heartbeat;
    /// Time since the entry sent the heartbeat, without the time that the row spent in messages;
    /// in milliseconds on the wire. Set in digests and leaving marks only; zero in the row that an
    /// entry sends of itself, and in rows of daemons that do not send it.
    duration heartbeat_age{};
    /// Generation of the configuration that the daemon applies.
    lagoonladder::generation generation;
    std::uint32_t open_requests = 0;
    /// Whether the VM has a data folder and can be a voter of the replicated log.
    bool has_disk = false;
    /// Address for callers of pass-through routes; empty while the entry accepts none.
    network_address pass_through;
    /// Demand in tokens per second by account at this entry. In large systems only the total,
    /// under an empty account id.
    std::map<account_id, double> demand;
    /// Work that this entry gives to engines, to a thousandth on the wire. Empty while it states
    /// none, and in rows of daemons that do not send it.
    engine_work_by_service engine_work;
};

void to_json(nlohmann::json& out, entry_record const& in);
void from_json(nlohmann::json const& in, entry_record& out);

} // namespace lagoonladder::connection

#endif
