#include <lagoonladder/version/evacuation.hpp>

#include "envelope.hpp"

namespace lagoonladder::version
{

bool set_evacuated(evacuation_records& records, data_centre_id const& data_centre,
                   bool is_to_be_evacuated, wall_time now)
{
    if (is_evacuated(records, data_centre) == is_to_be_evacuated)
        return false;
    if (is_to_be_evacuated)
        records[data_centre] = {now, std::nullopt};
    else
        records.at(data_centre).ended = now;
    return true;
}

std::set<data_centre_id> evacuated_data_centres(evacuation_records const& records)
{
    std::set<data_centre_id> evacuated;
    for (auto const& [data_centre, record] : records)
    {
        if (!record.ended)
            evacuated.insert(data_centre);
    }
    return evacuated;
}

bool is_evacuated(evacuation_records const& records, data_centre_id const& data_centre)
{
    auto const found = records.find(data_centre);
    return found != records.end() && !found->second.ended;
}

nlohmann::json evacuations_json(evacuation_records const& records)
{
    auto out = nlohmann::json::array();
    for (auto const& [data_centre, record] : records)
        out.push_back({{"data_centre", data_centre},
                       {"started", record.started},
                       {"ended", optional_json(record.ended)}});
    return out;
}

evacuation_records evacuations_from(nlohmann::json const& object)
{
    evacuation_records records;
    if (!object.contains("evacuations"))
        return records;
    for (auto const& item : object.at("evacuations"))
        records[item.at("data_centre").get<data_centre_id>()] = {
            item.at("started").get<wall_time>(), optional_from<wall_time>(item.at("ended"))};
    return records;
}

} // namespace lagoonladder::version
