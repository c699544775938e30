#ifndef LAGOONLADDER_VERSION_EVACUATION_HPP
#define LAGOONLADDER_VERSION_EVACUATION_HPP

#include <map>
#include <optional>
#include <set>

#include <nlohmann/json.hpp>

#include <lagoonladder/base.hpp>

namespace lagoonladder::version
{

/// The latest evacuation of a data centre, whose endpoints receive no requests until it ends.
struct evacuation
{
    wall_time started{};
    std::optional<wall_time> ended;

    friend bool operator==(evacuation const&, evacuation const&) = default;
};

/// The latest evacuation of each data centre that was ever evacuated. Ended ones are kept, so that
/// their data centres stay known when none of their machines is left.
using evacuation_records = std::map<data_centre_id, evacuation>;

/// Starts or ends the evacuation of a data centre at `now`. Returns false, without a change, if
/// the data centre is in the requested state already.
bool set_evacuated(evacuation_records& records, data_centre_id const& data_centre,
                   bool is_evacuated, wall_time now);

std::set<data_centre_id> evacuated_data_centres(evacuation_records const& records);

bool is_evacuated(evacuation_records const& records, data_centre_id const& data_centre);

/// Encodes as an array; times are microseconds since 1970.
nlohmann::json evacuations_json(evacuation_records const& records);

/// Reads the member "evacuations" of an object. Snapshots and messages of earlier releases have
/// none.
evacuation_records evacuations_from(nlohmann::json const& object);

} // namespace lagoonladder::version

#endif
