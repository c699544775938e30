#ifndef LAGOONLADDER_CONNECTION_ENTRY_RECORD_HPP
#define LAGOONLADDER_CONNECTION_ENTRY_RECORD_HPP

#include <cstdint>
#include <map>

#include <nlohmann/json.hpp>

#include <lagoonladder/base.hpp>

namespace lagoonladder::connection
{

enum class entry_state
{
    serving,
    leaving
};

/// One entry VM as its daemon announces it by gossip.
struct entry_record
{
    vm_id vm;
    data_centre_id data_centre;
    zone_id zone;
    /// Where callers connect.
    network_address http;
    /// Where other daemons connect.
    network_address control;
    entry_state state = entry_state::serving;
    /// Wall time of the daemon's start in microseconds; a restart supersedes earlier rows.
    lagoonladder::incarnation incarnation;
    heartbeat_count heartbeat;
    lagoonladder::generation generation;
    std::uint32_t open_requests = 0;
    /// Whether the VM has a data folder and can be a voter.
    bool has_disk = false;
    /// Where callers of pass-through routes connect; empty when it takes none now.
    network_address pass_through;
    /// Tokens a second that accounts ask for at this entry. In large systems, where quotas
    /// are not shared by it, only the total, under an empty account id.
    std::map<account_id, double> demand;
};

void to_json(nlohmann::json& out, entry_record const& in);
void from_json(nlohmann::json const& in, entry_record& out);

} // namespace lagoonladder::connection

#endif
