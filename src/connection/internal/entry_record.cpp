#include <lagoonladder/connection/entry_record.hpp>

#include <json_fields.hpp>

namespace lagoonladder::connection
{

namespace
{

nlohmann::json demand_json(std::map<account_id, double> const& demand)
{
    auto out = nlohmann::json::array();
    for (auto const& [account, rate] : demand)
        out.push_back({account, rate});
    return out;
}

void read_demand(nlohmann::json const& in, char const* name, std::map<account_id, double>& out)
{
    out.clear();
    for (auto const& item : require_field(in, name))
    {
        bool const is_pair = item.is_array() && item.size() == 2 && item[0].is_string() &&
                             item[1].is_number() && item[1].get<double>() >= 0;
        if (!is_pair)
            throw_field_error(in, name, "is not a list of [account, rate] pairs");
        out.emplace(item[0].get<account_id>(), item[1].get<double>());
    }
}

} // namespace

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
           {"has_disk", in.has_disk},
           {"pass_through", in.pass_through},
           {"demand", demand_json(in.demand)}};
    write_age(out, in.heartbeat_age);
}

void from_json(nlohmann::json const& in, entry_record& out)
{
    entry_record entry;
    read_id(in, "vm", entry.vm);
    read_id(in, "data_centre", entry.data_centre);
    read_id(in, "zone", entry.zone);
    read_id(in, "http", entry.http);
    read_id(in, "control", entry.control);
    read_state(in, "state", entry.state);
    read_field(in, "incarnation", entry.incarnation);
    read_field(in, "heartbeat", entry.heartbeat);
    read_field(in, "generation", entry.generation);
    read_field(in, "open_requests", entry.open_requests);
    read_field(in, "has_disk", entry.has_disk);
    read_field(in, "pass_through", entry.pass_through);
    read_demand(in, "demand", entry.demand);
    entry.heartbeat_age = read_age(in);
    out = std::move(entry);
}

} // namespace lagoonladder::connection
