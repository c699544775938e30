#ifndef LAGOONLADDER_CAPACITY_ROWS_HPP
#define LAGOONLADDER_CAPACITY_ROWS_HPP

#include <string>

#include <lagoonladder/connection.hpp>
#include <lagoonladder/request.hpp>

namespace lagoonladder::capacity
{

/// Number of data centres of a deployment of the target size.
inline constexpr std::size_t data_centre_count = 11;

connection::entry_record make_entry(std::size_t number);
connection::endpoint_record make_endpoint(std::size_t number);
request::route_candidate make_candidate(std::size_t number, random_source& random);

/// Returns a configuration text with a model engine, a route and an account for each service.
/// Different values of `change` give different texts.
std::string make_configuration(std::size_t services, std::size_t change);

/// Begin and finish of an at-most-once call with a 200-byte response.
request::at_most_once_begin make_begin(std::size_t number, wall_time now);
request::at_most_once_finish make_finish(std::size_t number);

/// Start of the simulated time; later than zero, which some types use for "never".
inline time_point start_time()
{
    return time_point{} + std::chrono::hours(1);
}

inline wall_time start_wall_time()
{
    return wall_time(std::chrono::hours(24 * 365 * 56));
}

} // namespace lagoonladder::capacity

#endif
