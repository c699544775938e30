#ifndef LAGOONLADDER_VERSION_EVACUATION_HPP
#define LAGOONLADDER_VERSION_EVACUATION_HPP

#include <cstdint>
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
    /// Rises with each order that takes effect or confirms the state in force. At least the time
    /// of the latest change in microseconds since 1970.
    std::uint64_t number = 0;

    friend bool operator==(evacuation const&, evacuation const&) = default;
};

/// The latest evacuation of each data centre that was ever evacuated. Ended ones are kept, so that
/// their data centres stay known when none of their machines is left.
using evacuation_records = std::map<data_centre_id, evacuation>;

enum class evacuation_outcome
{
    changed,
    /// The data centre is in the requested state already. The order confirms it: an order with the
    /// same base that arrives later has no effect.
    confirmed,
    /// As `confirmed`, but nothing has changed, since the order states no base.
    repeated,
    /// The order is based on an older number. Nothing has changed.
    outdated
};

/// Starts or ends the evacuation of a data centre at `now`. `base` is the number of the record that
/// the order is based on; orders of earlier releases have none and always take effect.
evacuation_outcome set_evacuated(evacuation_records& records, data_centre_id const& data_centre,
                                 bool is_evacuated, wall_time now,
                                 std::optional<std::uint64_t> base = std::nullopt);

/// Returns the number of the record of a data centre, 0 without a record.
std::uint64_t evacuation_number(evacuation_records const& records,
                                data_centre_id const& data_centre);

std::set<data_centre_id> evacuated_data_centres(evacuation_records const& records);

bool is_evacuated(evacuation_records const& records, data_centre_id const& data_centre);

/// Encodes as an array; times are microseconds since 1970.
nlohmann::json evacuations_json(evacuation_records const& records);

/// Reads the member "evacuations" of an object. Snapshots and messages of earlier releases have
/// none, or records without a number.
evacuation_records evacuations_from(nlohmann::json const& object);

} // namespace lagoonladder::version

#endif
