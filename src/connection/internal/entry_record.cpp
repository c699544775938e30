#include <lagoonladder/connection/entry_record.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

#include <json_fields.hpp>

namespace lagoonladder::connection
{

namespace
{

constexpr char const* engine_work_field = "engine_work";

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

/// Returns the number in thousandths, within the range of the wire.
std::uint32_t in_thousandths(double value)
{
    constexpr double max_value = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::min(std::round(std::max(0.0, value) * 1000), max_value));
}

/// A row without work has no such field, as rows are sent in many messages.
void write_engine_work(nlohmann::json& out, engine_work_by_service const& work)
{
    for (auto const& [service, item] : work)
        out[engine_work_field].push_back(
            {service, in_thousandths(item.prefill), in_thousandths(item.prompts), item.running});
}

engine_work_by_service read_engine_work(nlohmann::json const& in)
{
    engine_work_by_service work;
    if (!in.contains(engine_work_field))
        return work;
    auto const is_number = [](nlohmann::json const& value)
    {
        return value.is_number_unsigned() &&
               value.get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
    };
    if (!in[engine_work_field].is_array())
        throw_field_error(in, engine_work_field,
                          "is not a list of [service, prefill, prompts, running]");
    for (auto const& item : in[engine_work_field])
    {
        bool const is_work = item.is_array() && item.size() == 4 && item[0].is_string() &&
                             !item[0].get<std::string>().empty() &&
                             std::all_of(item.begin() + 1, item.end(), is_number);
        if (!is_work)
            throw_field_error(in, engine_work_field,
                              "is not a list of [service, prefill, prompts, running]");
        work[item[0].get<service_name>()] = {item[1].get<double>() / 1000,
                                             item[2].get<double>() / 1000,
                                             item[3].get<std::uint32_t>()};
    }
    return work;
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
    write_engine_work(out, in.engine_work);
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
    entry.engine_work = read_engine_work(in);
    entry.heartbeat_age = read_age(in);
    out = std::move(entry);
}

} // namespace lagoonladder::connection
