#include <lagoonladder/connection/entry_record.hpp>

#include <json_fields.hpp>

namespace lagoonladder::connection
{

void to_json(nlohmann::json& out, entry_record const& in)
{
    out = {{"vm", in.vm},
           {"data_centre", in.data_centre},
           {"zone", in.zone},
           {"http", in.http},
           {"control", in.control},
           {"state", state_text(in.state)},
           {"incarnation", in.incarnation},
           {"heartbeat", in.heartbeat},
           {"generation", in.generation},
           {"open_requests", in.open_requests},
           {"has_disk", in.has_disk}};
}

void from_json(nlohmann::json const& in, entry_record& out)
{
    entry_record row;
    read_id(in, "vm", row.vm);
    read_id(in, "data_centre", row.data_centre);
    read_id(in, "zone", row.zone);
    read_id(in, "http", row.http);
    read_id(in, "control", row.control);
    read_state(in, "state", row.state);
    read_field(in, "incarnation", row.incarnation);
    read_field(in, "heartbeat", row.heartbeat);
    read_field(in, "generation", row.generation);
    read_field(in, "open_requests", row.open_requests);
    read_field(in, "has_disk", row.has_disk);
    out = std::move(row);
}

} // namespace lagoonladder::connection
