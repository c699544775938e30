#include <lagoonladder/version/evacuation.hpp>

#include <algorithm>

#include "envelope.hpp"

namespace lagoonladder::version
{

namespace
{

std::uint64_t number_at(wall_time time)
{
    auto const since_epoch = time.time_since_epoch() / std::chrono::microseconds(1);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(since_epoch, 0));
}

/// The number follows the time of the change, so that a replica that restores a record without a
/// number gets the same one as a replica that applied the command.
std::uint64_t next_number(std::uint64_t current, wall_time now)
{
    return std::max(current + 1, number_at(now));
}

std::uint64_t read_number(nlohmann::json const& item, evacuation const& record)
{
    if (item.contains("number"))
        return item.at("number").get<std::uint64_t>();
    return number_at(record.ended.value_or(record.started));
}

evacuation read_record(nlohmann::json const& item)
{
    evacuation record;
    item.at("started").get_to(record.started);
    record.ended = optional_from<wall_time>(item.at("ended"));
    record.number = read_number(item, record);
    return record;
}

} // namespace

evacuation_outcome set_evacuated(evacuation_records& records, data_centre_id const& data_centre,
                                 bool is_to_be_evacuated, wall_time now,
                                 std::optional<std::uint64_t> base)
{
    bool const is_in_force = is_evacuated(records, data_centre) == is_to_be_evacuated;
    if (is_in_force && !base)
        return evacuation_outcome::repeated;
    auto const current = evacuation_number(records, data_centre);
    if (!is_in_force && base && *base < current)
        return evacuation_outcome::outdated;
    // An end without a record leaves one, so that a start that was sent before it has no effect.
    auto& record = records.try_emplace(data_centre, evacuation{now, now}).first->second;
    record.number = next_number(current, now);
    if (is_in_force)
        return evacuation_outcome::confirmed;
    if (is_to_be_evacuated)
        record.started = now;
    record.ended = is_to_be_evacuated ? std::nullopt : std::optional(now);
    return evacuation_outcome::changed;
}

std::uint64_t evacuation_number(evacuation_records const& records,
                                data_centre_id const& data_centre)
{
    auto const found = records.find(data_centre);
    return found == records.end() ? 0 : found->second.number;
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
                       {"ended", optional_json(record.ended)},
                       {"number", record.number}});
    return out;
}

evacuation_records evacuations_from(nlohmann::json const& object)
{
    evacuation_records records;
    if (!object.contains("evacuations"))
        return records;
    for (auto const& item : object.at("evacuations"))
        records[item.at("data_centre").get<data_centre_id>()] = read_record(item);
    return records;
}

} // namespace lagoonladder::version
